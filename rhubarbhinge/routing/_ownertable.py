"""Owners of searchers for one version of the membership."""

from collections.abc import Sequence

from rhubarbhinge.routing._ownership import owners


class OwnerTable:
    """Caches each searcher's owners; a membership change creates a new table.

    Owners are computed on first access, so that a membership change causes no
    long pause.

    :param live_relays: names of the live relays that may own a searcher.
    """

    def __init__(self, live_relays: Sequence[str]) -> None:
        self.live_relays = tuple(live_relays)
        self._owners: dict[str, tuple[str | None, str | None]] = {}

    def owners(self, upstream_name: str) -> tuple[str | None, str | None]:
        """Return a searcher's owner and stand-by.

        :param upstream_name: the searcher's name in the register.
        :returns: as :func:`rhubarbhinge.routing.owners`.
        """
        found = self._owners.get(upstream_name)
        if found is None:
            found = self._owners[upstream_name] = owners(upstream_name, self.live_relays)
        return found
