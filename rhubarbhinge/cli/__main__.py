"""Lets ``python -m rhubarbhinge.cli`` stand for the installed command."""

import sys

from rhubarbhinge.cli import main

if __name__ == "__main__":
    sys.exit(main())
