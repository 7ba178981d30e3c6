"""The daemons: circuits components that own sockets and decide nothing themselves."""

from rhubarbhinge.daemons._entrydaemon import EntryDaemon
from rhubarbhinge.daemons._relaydaemon import RelayDaemon
from rhubarbhinge.daemons._run import run_entry, run_relay

__all__ = ["EntryDaemon", "RelayDaemon", "run_entry", "run_relay"]
