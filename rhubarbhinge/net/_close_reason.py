"""Reasons for closing a link."""

from enum import StrEnum


class CloseReason(StrEnum):
    """Why a link was closed or could not be opened."""

    LOCAL = "local"
    """This side closed or aborted the link."""

    PEER = "peer"
    """The peer closed the connection normally."""

    RESET = "reset"
    """The connection was reset or failed."""

    SILENT = "silent"
    """The peer's host stopped acknowledging data."""

    REFUSED = "refused"
    """Nothing listens on the peer's port."""

    UNREACHABLE = "unreachable"
    """The connection could not be started or established."""

    CONNECT_TIMEOUT = "connect-timeout"
    """The connection was not established in time."""

    OVERFLOW = "overflow"
    """Too much data was pending because the peer reads too slowly."""

    STALLED = "stalled"
    """The peer took no data for too long; the connection was reset."""
