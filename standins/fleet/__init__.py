"""Starting and stopping processes for tests, the demo and the bench.

Every process that a :class:`Fleet` starts is ended when the fleet is left.
"""

from standins.fleet._calls import answers, call
from standins.fleet._fleet import Fleet
from standins.fleet._ports import free_ports
from standins.fleet._process import Process
from standins.fleet._waiting import wait_until

__all__ = ["Fleet", "Process", "answers", "call", "free_ports", "wait_until"]
