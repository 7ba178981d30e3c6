"""``python -m tools.up TENANT``: an example deployment on loopback, kept up until interrupted."""

import signal
import sys
import tempfile
import time

from standins.deployment import BY_DOMAIN, LOOPBACK, LiveDeployment, Size
from standins.fleet import Fleet

TENANTS = ("kingston", "suva")
#: Factor on the examples' number of searchers.
SCALE = 0.1
POLL_S = 0.2


def main() -> int:
    """Set the deployment up, print its addresses, and wait.

    :returns: 0, or 2 when the command line is wrong.
    """
    if len(sys.argv) != 2 or sys.argv[1] not in TENANTS:
        print(f"usage: python -m tools.up {'|'.join(TENANTS)}", file=sys.stderr)
        return 2
    stopped: list[int] = []
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda number, _: stopped.append(number))
    with tempfile.TemporaryDirectory() as folder, Fleet(folder) as fleet:
        deployment = LiveDeployment(fleet, sys.argv[1], Size(SCALE, 1, BY_DOMAIN))
        deployment.start_nodes()
        _print_addresses(deployment, folder)
        while not stopped:
            time.sleep(POLL_S)
    return 0


def _print_addresses(deployment: LiveDeployment, folder: str) -> None:
    print(f"platform {LOOPBACK}:{deployment.platform.port()}")
    for vm in deployment.vms:
        print(f"{vm.name} entry {LOOPBACK}:{vm.entry_http} relay {LOOPBACK}:{vm.relay_http}")
    print(f"logs in {folder}; Ctrl-C ends all", flush=True)


if __name__ == "__main__":
    sys.exit(main())
