"""``python -m standins.searcher --config JSON|FILE|- [--history FILE] [--end-with-parent]``."""

from standins._main import main
from standins.searcher._daemon import start

main("standins.searcher", start)
