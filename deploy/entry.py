"""Starts an entry on the operators' platform."""

import gc
import os
import signal
import socket
import sys
import tomllib

SETTINGS_FILE = "RHUBARBHINGE_NODE_FILE"
"""Environment variable with the path of the platform's settings file."""
DEFAULT_SETTINGS_PATH = "/etc/rhubarbhinge/node.toml"
BACKLOG = 1024
"""Connections that the kernel queues until the entry has started."""


def listen_early(settings_path: str) -> list[socket.socket]:
    """Listen for callers before loading the program, which takes some tenths of a second.

    :param settings_path: path of the platform's settings file.
    :returns: the sockets; none when the settings are unreadable, which the program reports later.
    """
    try:
        with open(settings_path, "rb") as file:
            ip, _, port = tomllib.load(file)["listen_addrs"]["frontend"].rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, int(port)))
        sock.listen(BACKLOG)
    except (OSError, KeyError, TypeError, ValueError) as error:
        print(f"event=not-listening-early error={error!r}", flush=True)
        return []
    return [sock]


def main() -> int:
    """Run an entry with the platform's settings file.

    :returns: the exit code.
    """
    # SIGHUP would end the process until the program handles it; the settings are read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Objects created while loading are permanent; garbage collection takes a tenth of the start.
    gc.disable()
    settings_path = os.environ.get(SETTINGS_FILE, DEFAULT_SETTINGS_PATH)
    early = listen_early(settings_path)
    root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    sys.path[:0] = [root, os.path.join(root, "platform")]
    from rhubarbhinge_platform import run

    return run(settings_path, early)


if __name__ == "__main__":
    sys.exit(main())
