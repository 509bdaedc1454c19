"""Run the command line with ``python -m kumquatlift``."""

from kumquatlift.cli import main

if __name__ == "__main__":
    main()
