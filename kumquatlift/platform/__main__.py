"""Run a program of the platform with ``python -m kumquatlift.platform``."""

from kumquatlift.platform._programs import main

if __name__ == "__main__":
    main()
