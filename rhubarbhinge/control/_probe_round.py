"""Order in which members are probed."""

import random
from collections.abc import Callable

from rhubarbhinge.control._member_state import DEAD
from rhubarbhinge.control._member_table import MemberTable
from rhubarbhinge.wire._member import Member


class ProbeRound:
    """Gives one member after another, each once a round, in a new random order each round.

    :param table: the members.
    :param rng: source of random order.
    :param includes: which members take part.
    """

    def __init__(
        self, table: MemberTable, rng: random.Random, includes: Callable[[Member], bool]
    ) -> None:
        self._table = table
        self._rng = rng
        self._includes = includes
        self._order: list[str] = []

    def next(self) -> Member | None:
        """Choose the next member that is not dead.

        :returns: the member, or nothing if there is none.
        """
        while self._order:
            member = self._table.get(self._order.pop())
            if member is not None and member.state != DEAD:
                return member
        self._order = [m.name for m in self._table.members() if self._takes_part(m)]
        self._rng.shuffle(self._order)
        return self._table.get(self._order.pop()) if self._order else None

    def _takes_part(self, member: Member) -> bool:
        return member.state != DEAD and self._includes(member)
