"""Size limit of the messages between entries."""

from rhubarbhinge.forward import CallerRequest
from rhubarbhinge.gather import RECORD_BYTES
from rhubarbhinge.net import MAX_FRAME_BODY_BYTES

MAX_MESSAGE_BYTES = MAX_FRAME_BODY_BYTES // 8 * 7
"""Maximum size of a message before compression. Deflate adds at most 1/8 + 1/64 to data that does
not compress (zlib's ``deflateBound``), so that the message fits into a frame, also of earlier
releases, whose frames have no room around a body."""
RESERVED_BYTES = 128 * 1024
"""Part of a message that is reserved for the names and signatures of shards, at about 100 bytes
each."""
MAX_CONTENT_BYTES = MAX_MESSAGE_BYTES - RESERVED_BYTES


def can_delegate(request: CallerRequest, top_k: int) -> bool:
    """Check whether a search fits into messages between entries.

    A search that does not fit is sent to the searchers directly.

    :param request: the caller's request.
    :param top_k: maximum number of records in a reply.
    :returns: whether neither the request nor a reply can be too long.
    """
    return request_fits(request) and top_k * RECORD_BYTES <= MAX_CONTENT_BYTES


def request_fits(request: CallerRequest) -> bool:
    """Check whether a request fits into a message to another entry.

    :param request: the caller's request.
    :returns: whether it is short enough.
    """
    return len(request.id) + len(request.head) + len(request.body) <= MAX_CONTENT_BYTES
