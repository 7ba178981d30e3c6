"""Connections to searchers held by an entry itself, without relays.

This is the simpler deployment that relays were weighed against (docs/routing-relay.md): every entry
keeps to an equal share of each searcher's slots.
"""

from collections.abc import Callable
from typing import Any

from rhubarbhinge.daemons._ownership import leaving_upstreams, upstream_spec
from rhubarbhinge.daemons._relayparts import RelayParts
from rhubarbhinge.daemons._relaywork import RelayWork
from rhubarbhinge.query import RelayTarget
from rhubarbhinge.register import Register
from rhubarbhinge.wire import upstream_id


class DirectPool:
    """An entry's own connections to all searchers.

    :param parts: parts of this entry.
    :param on_message: called with each message that a relay would have sent here.
    """

    def __init__(self, parts: RelayParts, on_message: Callable[[Any], None]) -> None:
        identity = parts.identity
        self._me = RelayTarget(identity.name, identity.incarnation)
        self._numbers: frozenset[int] = frozenset()
        self._work = RelayWork(
            parts,
            lambda entry, message: on_message(message),
            on_message,
            lambda entry, code: None,
        )

    def relay_of(self, number: int) -> RelayTarget | None:
        """Give this entry itself for each searcher of the register.

        :param number: the searcher.
        :returns: this entry, None for an unknown searcher.
        """
        return self._me if number in self._numbers else None

    def send(self, node: str, message: Any) -> bool:
        """Take a message for a relay.

        :param node: the receiver, this entry itself.
        :param message: the message.
        :returns: True, unless it is no work for a relay.
        """
        return node == self._me.name and self._work.take(node, message)

    def flush(self) -> None:
        """Hand over the answers of this loop turn."""
        self._work.flush()

    def follow(self, register: Register, leaving_instances: frozenset[str], entries: int) -> None:
        """Follow the register, the VM list and the number of entries.

        :param register: the register in force.
        :param leaving_instances: instances that the VM list shows as leaving.
        :param entries: live entries of all failure domains, which share each searcher.
        """
        share = 1.0 / max(1, entries)
        specs = tuple(upstream_spec(register, each, share) for each in register.upstreams)
        self._numbers = frozenset(upstream_id(each.name) for each in register.upstreams)
        leaving = leaving_upstreams(register, leaving_instances)
        self._work.own(register.revision, specs, leaving)
