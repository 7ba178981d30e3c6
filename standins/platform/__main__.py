"""``python -m standins.platform [--config JSON|FILE|-] [--history FILE] [--end-with-parent]``."""

from standins._main import main
from standins.platform._daemon import start

main("standins.platform", start)
