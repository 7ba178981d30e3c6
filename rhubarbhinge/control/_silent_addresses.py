"""Addresses worth a probe that nobody live is known at."""

from rhubarbhinge.control._candidates import Candidates
from rhubarbhinge.control._claims import Claims
from rhubarbhinge.control._links import Links
from rhubarbhinge.control._member_state import DEAD
from rhubarbhinge.control._member_table import MemberTable
from rhubarbhinge.control._vm_node import VmNode
from rhubarbhinge.wire._member import Member


class SilentAddresses:
    """Dead members, listed nodes that have not spoken, and seeds without a member.

    :param claims: knows the dead members.
    :param table: the members.
    :param links: says who would be welcome.
    :param candidates: the nodes that the platform lists.
    :param seeds: ``(ip, port)`` addresses of the settings.
    """

    def __init__(
        self,
        claims: Claims,
        table: MemberTable,
        links: Links,
        candidates: Candidates,
        seeds: tuple[tuple[str, int], ...],
    ) -> None:
        self._claims = claims
        self._table = table
        self._links = links
        self._candidates = candidates
        self._seeds = seeds

    def members(self, domain: str | None = None) -> list[Member]:
        """List whom to probe.

        :param domain: only this failure domain, or any.
        :returns: members as they were, or made up from an address; held for dead.
        """
        found = self._dead() + self._unconfirmed() + self._unnamed()
        return [member for member in found if domain in (None, member.failure_domain)]

    def _dead(self) -> list[Member]:
        known = [self._table.get(name) for name in self._claims.dead()]
        return [member for member in known if member is not None and self._links.lacks(member)]

    def _unconfirmed(self) -> list[Member]:
        nodes = [node for node in self._candidates.nodes() if self._table.get(node.name) is None]
        return [member for member in map(_listed, nodes) if self._links.lacks(member)]

    def _unnamed(self) -> list[Member]:
        if not self._seeds:
            return []
        known = {(member.ip, member.peer_port) for member in self._table.members()}
        return [_addressed(*address) for address in self._seeds if address not in known]


def _addressed(ip: str, port: int) -> Member:
    return Member("", "", "", ip, port, 0, DEAD)


def _listed(node: VmNode) -> Member:
    return Member(node.name, node.role, node.failure_domain, node.ip, node.peer_port, 0, DEAD)
