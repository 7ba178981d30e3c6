"""A searcher as it is published."""

import zlib
from typing import NamedTuple

from msgspec import Struct
from msgspec.structs import replace

from rhubarbhinge.utils.bounded_types import (
    Capacity,
    Count,
    HeaderName,
    Ipv4,
    Milliseconds,
    Name,
    Port,
)


class SearcherStart(NamedTuple):
    """Tells one start of a searcher from all others.

    :ivar incarnation: the searcher's id, which a later start may have as well.
    :ivar started_unix_ms: when it started, by its own clock; None when it is not told.
    :ivar service: name of its service, which a process doesn't change.
    :ivar ip: its IP address.
    :ivar port: its port.
    """

    incarnation: str
    started_unix_ms: int | None
    service: str
    ip: str
    port: int

    @property
    def mark(self) -> int:
        """A number of 32 bits that is the same for this start at all entries."""
        return zlib.crc32(repr(tuple(self)).encode())


class Searcher(Struct, frozen=True):
    """One start of a searcher, as it is published.

    A searcher may start again under its id, and then holds and knows nothing of before. What tells
    the starts of one id apart is when each was; without that, the address and the service.

    :param incarnation: identifies the searcher; it is sent as the value of a header.
    :param service: name of its service.
    :param ip: its IP address, which another searcher may get later.
    :param port: its port.
    :param failure_domain: where it runs.
    :param capacity: how many requests it executes at a time.
    :param draining: whether it is about to leave.
    :param warmup_ms: how much longer it was slow after its start when this was published.
    :param started_unix_ms: when it started, by its own clock; None when it is not told.
    """

    incarnation: HeaderName
    service: Name
    ip: Ipv4
    port: Port
    failure_domain: Name
    capacity: Capacity
    draining: bool = False
    warmup_ms: Milliseconds = 0.0
    started_unix_ms: Count | None = None

    @property
    def start(self) -> SearcherStart:
        """Tells this start from all others."""
        return SearcherStart(
            self.incarnation, self.started_unix_ms, self.service, self.ip, self.port
        )

    def may_have_started_at(self, started_unix_ms: int | None) -> bool:
        """Tell whether this may be the start of a time.

        :param started_unix_ms: the time; None when it is not known.
        :returns: whether the times are equal, or one of them is not known.
        """
        known = started_unix_ms is not None and self.started_unix_ms is not None
        return not known or started_unix_ms == self.started_unix_ms

    def is_same_start(self, other: "Searcher") -> bool:
        """Tell whether another entry of the same id describes the same start.

        :param other: the entry.
        :returns: whether neither the time of the start, nor the address or the service differs.
        """
        same_place = (self.ip, self.port, self.service) == (other.ip, other.port, other.service)
        return same_place and self.may_have_started_at(other.started_unix_ms)

    def started_before(self, other: "Searcher") -> bool:
        """Tell whether this is an earlier start than another one of the same id.

        :param other: the other one.
        :returns: whether both times are known and this one's is the earlier.
        """
        known = self.started_unix_ms is not None and other.started_unix_ms is not None
        return known and self.started_unix_ms < other.started_unix_ms

    def updated_by(self, later: "Searcher") -> "Searcher":
        """Take what is published later about the same start.

        :param later: what is published.
        :returns: that, with the time of the start where only this one tells it, as entries of an
            earlier release hand on searchers without it, and draining for good.
        """
        if later.started_unix_ms is None and self.started_unix_ms is not None:
            later = replace(later, started_unix_ms=self.started_unix_ms)
        if self.draining and not later.draining:
            later = replace(later, draining=True)
        return later
