"""Components that own sockets: TCP links and UDP datagrams."""

from rhubarbhinge.net._datagrams import Datagrams
from rhubarbhinge.net._links import DEFAULT_MAX_PENDING_BYTES, Links
from rhubarbhinge.net._reason import CloseReason

__all__ = ["DEFAULT_MAX_PENDING_BYTES", "CloseReason", "Datagrams", "Links"]
