"""Owners of the searchers of each failure domain, found anew when something changed."""

from collections import Counter

from rhubarbhinge.register import Register
from rhubarbhinge.routing import CellTable


class DomainOwners:
    """The owner table of each failure domain, for the register and relays last seen."""

    def __init__(self) -> None:
        self._tables: dict[str, tuple[Register, tuple[str, ...], CellTable]] = {}

    def table(self, register: Register, domain: str, live_relays: tuple[str, ...]) -> CellTable:
        """Give the owners of a failure domain's searchers.

        :param register: the register in force.
        :param domain: the failure domain.
        :param live_relays: its live relays.
        :returns: the table; the same one until an argument changes.
        """
        known = self._tables.get(domain)
        if known is not None and known[0] is register and known[1] == live_relays:
            return known[2]
        counts = Counter(
            upstream.system for upstream in register.upstreams if upstream.failure_domain == domain
        )
        table = CellTable(counts, live_relays)
        self._tables[domain] = (register, live_relays, table)
        return table
