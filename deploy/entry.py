"""Starts an entry on the operators' platform."""

import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SETTINGS_FILE = "RHUBARBHINGE_NODE_FILE"
"""Environment variable that holds the path of the platform's settings file."""


def main() -> int:
    """Run an entry by the platform's settings file.

    :returns: the exit code.
    """
    sys.path[:0] = [str(ROOT), str(ROOT / "platform")]
    from rhubarbhinge_platform import run

    return run(os.environ.get(SETTINGS_FILE, "/etc/rhubarbhinge/node.toml"))


if __name__ == "__main__":
    sys.exit(main())
