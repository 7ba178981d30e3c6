"""Why a link was closed."""

from enum import StrEnum


class CloseReason(StrEnum):
    """Why a link was closed, or never opened."""

    LOCAL = "local"
    """This side closed or aborted it."""

    PEER = "peer"
    """The peer closed it in order."""

    RESET = "reset"
    """The peer or the network broke it."""

    SILENT = "silent"
    """The peer's host acknowledged nothing for too long."""

    REFUSED = "refused"
    """Nothing listens at the peer's port."""

    UNREACHABLE = "unreachable"
    """No connection could be started or made."""

    CONNECT_TIMEOUT = "connect-timeout"
    """The connection was not made in time."""

    OVERFLOW = "overflow"
    """The peer reads too slowly: too many bytes were pending."""
