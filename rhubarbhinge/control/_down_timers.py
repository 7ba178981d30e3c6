"""How long members have been suspected or dead."""

from rhubarbhinge.control._member_state import DEAD, SUSPECT
from rhubarbhinge.wire._member import Member


class DownTimers:
    """Deadlines of suspicions, and since when dead members are dead."""

    def __init__(self) -> None:
        self._suspicions: dict[str, tuple[int, Member]] = {}
        self._dead_since_ms: dict[str, int] = {}

    def changed(self, member: Member, suspicion_ms: int, now_ms: int) -> None:
        """Take a member's new state.

        :param member: the member.
        :param suspicion_ms: how long it may refute a suspicion.
        :param now_ms: the time.
        """
        self.forget(member.name)
        if member.state == SUSPECT:
            self._suspicions[member.name] = (now_ms + suspicion_ms, member)
        if member.state == DEAD:
            self._dead_since_ms[member.name] = now_ms

    def forget(self, name: str) -> None:
        """Stop the timers of a member.

        :param name: its name.
        """
        self._suspicions.pop(name, None)
        self._dead_since_ms.pop(name, None)

    def restart(self, suspicion_ms: int, now_ms: int) -> None:
        """Give all suspected members their whole time again.

        :param suspicion_ms: how long they may refute.
        :param now_ms: the time.
        """
        for name, (_, suspected) in self._suspicions.items():
            self._suspicions[name] = (now_ms + suspicion_ms, suspected)

    def expired(self, now_ms: int) -> list[Member]:
        """List the suspected members whose time is over.

        :param now_ms: the time.
        :returns: the members as they were suspected.
        """
        return [member for expires_ms, member in self._suspicions.values() if now_ms >= expires_ms]

    def dead(self) -> list[str]:
        """List the dead members.

        :returns: names.
        """
        return list(self._dead_since_ms)

    def dead_before(self, limit_ms: int) -> list[str]:
        """List the members that died before a time.

        :param limit_ms: the time.
        :returns: names.
        """
        return [name for name, since_ms in self._dead_since_ms.items() if since_ms < limit_ms]
