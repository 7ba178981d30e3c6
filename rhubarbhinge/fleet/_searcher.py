"""Published state of a searcher."""

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
    """Identifies one start of a searcher among all others.

    :ivar incarnation: id of the searcher, which a later start may reuse.
    :ivar started_unix_ms: start time by the searcher's own clock; None if not published.
    :ivar service: name of the service, which a process does not change.
    :ivar ip: IP address.
    :ivar port: port.
    """

    incarnation: str
    started_unix_ms: int | None
    service: str
    ip: str
    port: int

    @property
    def mark(self) -> int:
        """32-bit checksum of the start, which is the same at all entries."""
        return zlib.crc32(repr(tuple(self)).encode())


class Searcher(Struct, frozen=True):
    """Published state of one start of a searcher.

    A searcher may restart under the same id, and then retains nothing from before. The starts of
    one id are distinguished by their start time or, if it is not published, by address and service.

    :param incarnation: id of the searcher; sent as a header value.
    :param service: name of the service.
    :param ip: IP address, which another searcher may use later.
    :param port: port.
    :param failure_domain: failure domain in which the searcher runs.
    :param capacity: number of requests that the searcher executes concurrently.
    :param draining: whether the searcher is about to leave.
    :param warmup_ms: remaining warm-up time at the time of publication.
    :param started_unix_ms: start time by the searcher's own clock; None if not published.
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
        """Identifies this start among all others."""
        return SearcherStart(
            self.incarnation, self.started_unix_ms, self.service, self.ip, self.port
        )

    def may_have_started_at(self, started_unix_ms: int | None) -> bool:
        """Check whether this start is compatible with a start time.

        :param started_unix_ms: the start time; None if unknown.
        :returns: True if the times are equal or one of them is unknown.
        """
        known = started_unix_ms is not None and self.started_unix_ms is not None
        return not known or started_unix_ms == self.started_unix_ms

    def is_same_start(self, other: "Searcher") -> bool:
        """Check whether another entry of the same id describes the same start.

        :param other: the other entry.
        :returns: True if neither start time, address nor service differ.
        """
        same_place = (self.ip, self.port, self.service) == (other.ip, other.port, other.service)
        return same_place and self.may_have_started_at(other.started_unix_ms)

    def started_before(self, other: "Searcher") -> bool:
        """Check whether this start is earlier than another one of the same id.

        :param other: the other start.
        :returns: True if both start times are known and this one is earlier.
        """
        known = self.started_unix_ms is not None and other.started_unix_ms is not None
        return known and self.started_unix_ms < other.started_unix_ms

    def updated_by(self, later: "Searcher") -> "Searcher":
        """Apply a later publication about the same start.

        The start time is kept if the later publication lacks it, as entries of earlier releases
        forward searchers without it. Draining is never reverted.

        :param later: the later publication.
        :returns: the updated searcher.
        """
        if later.started_unix_ms is None and self.started_unix_ms is not None:
            later = replace(later, started_unix_ms=self.started_unix_ms)
        if self.draining and not later.draining:
            later = replace(later, draining=True)
        return later
