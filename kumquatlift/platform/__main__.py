"""Command line ``python -m kumquatlift.platform core`` or ``frontend``."""

from kumquatlift.platform._programs import main

if __name__ == "__main__":
    main()
