"""Start daemons."""

import gc

from rhubarbhinge.daemons._entrydaemon import EntryDaemon
from rhubarbhinge.daemons._relaydaemon import RelayDaemon
from rhubarbhinge.settings import NodeSettings
from rhubarbhinge.telemetry import setup_logging


def run_entry(settings: NodeSettings) -> None:
    """Run an entry until it is stopped.

    :param settings: the node's settings.
    :raises OSError: when a port cannot be bound.
    """
    setup_logging(settings.log_level, settings.node_name("entry"))
    _run(EntryDaemon(settings))


def run_relay(settings: NodeSettings) -> None:
    """Run a relay until it is stopped.

    :param settings: the node's settings.
    :raises OSError: when a port cannot be bound.
    """
    setup_logging(settings.log_level, settings.node_name("relay"))
    _run(RelayDaemon(settings))


def _run(node: EntryDaemon | RelayDaemon) -> None:
    gc.collect()
    gc.freeze()
    node.run()
