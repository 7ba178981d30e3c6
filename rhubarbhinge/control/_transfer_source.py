"""What a node serves of one document."""

from collections.abc import Iterable

from rhubarbhinge.control._delta import deflate, encode_delta
from rhubarbhinge.control._delta_chain import DeltaChain, Position
from rhubarbhinge.control._delta_link import DeltaLink
from rhubarbhinge.control._document import Document
from rhubarbhinge.control._transfer import Transfer
from rhubarbhinge.control._transfer_codec import join_links

CHAIN_LIMIT_BYTES = 256 * 1024
PATH_LIMIT_BYTES = 32 * 1024
WHOLE_KEPT_MS = 30_000


class TransferSource:
    """Encodes the accepted document for receivers at other positions.

    A whole document is compressed at most once per ``WHOLE_KEPT_MS``; a receiver that gets the one
    kept catches up by deltas.
    """

    def __init__(self) -> None:
        self._chain = DeltaChain(CHAIN_LIMIT_BYTES)
        self._document: Document | None = None
        self._whole: Transfer | None = None
        self._whole_since_ms = 0

    def adopted(self, document: Document, received: Iterable[DeltaLink] | None) -> None:
        """Take a newly accepted document.

        :param document: the document.
        :param received: the deltas that it came by, empty if it came whole from a peer; nothing if
            the platform gave it, in which case the difference is computed here.
        """
        held, self._document = self._document, document
        if held is None:
            return
        if received is None:
            delta = encode_delta(held.data, document.data)
            received = [DeltaLink(document.revision, document.digest, delta)]
        base = (held.revision, held.digest)
        for link in received:
            if len(link.delta) <= PATH_LIMIT_BYTES:
                self._chain.add(base, link)
            base = link.position

    def transfer(self, base: Position, now_ms: int) -> Transfer | None:
        """Encode for a receiver.

        :param base: the receiver's position, zeros for none.
        :param now_ms: the time.
        :returns: the transfer; nothing if the receiver lacks nothing.
        """
        document = self._document
        if document is None or (document.revision, document.digest) <= base:
            return None
        target = (document.revision, document.digest)
        return self._by_deltas(base, target) or self._whole_above(base, target, now_ms)

    def resume(self, base: Position, position: Position) -> Transfer | None:
        """Find a transfer that a receiver has begun.

        :param base: the receiver's position.
        :param position: what the transfer decodes to.
        :returns: the transfer, if it can still be given.
        """
        whole = self._whole
        if whole is not None and position == (whole.revision, whole.digest):
            return whole
        return self._by_deltas(base, position)

    def _by_deltas(self, base: Position, target: Position) -> Transfer | None:
        if not base[0]:
            return None
        links = self._chain.path(base, target, PATH_LIMIT_BYTES)
        return Transfer(*target, base[0], join_links(links)) if links else None

    def _whole_above(self, base: Position, target: Position, now_ms: int) -> Transfer:
        if self._whole is None or not self._serves(self._whole, base, target, now_ms):
            self._whole = Transfer(*target, 0, deflate(self._document.data))
            self._whole_since_ms = now_ms
        return self._whole

    def _serves(self, whole: Transfer, base: Position, target: Position, now_ms: int) -> bool:
        position = (whole.revision, whole.digest)
        if position <= base:
            return False
        if position == target:
            return True
        if now_ms - self._whole_since_ms > WHOLE_KEPT_MS:
            return False
        return self._chain.path(position, target, PATH_LIMIT_BYTES) is not None
