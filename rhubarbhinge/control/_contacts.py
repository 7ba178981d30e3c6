"""Answers of the platform that this node knows of."""

from collections import OrderedDict

CONTACTS_KEPT = 256


class Contacts:
    """Time of the newest answer that any node in reach had.

    News of an answer goes from node to node with its age. Each answer is heard once only: the delay
    of messages makes it look younger at each step, and if it came back it would never grow old.
    """

    def __init__(self) -> None:
        self._heard: OrderedDict[int, None] = OrderedDict()
        self.newest = 0
        self.newest_ms: int | None = None

    def hear(self, contact: int, contact_ms: int) -> bool:
        """Hear of an answer.

        :param contact: identifies it.
        :param contact_ms: when it came, on this node's clock.
        :returns: false if it was heard before.
        """
        if contact in self._heard:
            self._heard.move_to_end(contact)
            return False
        self._heard[contact] = None
        if len(self._heard) > CONTACTS_KEPT:
            self._heard.popitem(last=False)
        if self.newest_ms is None or contact_ms > self.newest_ms:
            self.newest, self.newest_ms = contact, contact_ms
        return True
