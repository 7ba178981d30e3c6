"""``python -m standins.searcher --config JSON|FILE|- [--history FILE]``."""

import argparse
import asyncio

from standins._config import read_config
from standins.searcher._daemon import serve


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser(prog="standins.searcher")
    parser.add_argument("--config", required=True, help="JSON, a file of it, or - for stdin")
    parser.add_argument("--history", help="file for the event history")
    settings = parser.parse_args()
    try:
        asyncio.run(serve(read_config(settings.config), settings.history))
    except KeyboardInterrupt:
        pass


main()
