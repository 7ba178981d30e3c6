"""Which members of other failure domains a node follows."""

from rhubarbhinge.control._member_state import is_live
from rhubarbhinge.control._member_table import MemberTable
from rhubarbhinge.control._rendezvous import rank
from rhubarbhinge.wire._member import Member


class Links:
    """Follows the whole own failure domain and the best ranked live members of each other one.

    The rank depends on this node's name, so that the links of all nodes spread evenly.

    :param me: this node.
    :param table: the members.
    :param links_per_domain: how many live members of each other failure domain are followed.
    """

    def __init__(self, me: Member, table: MemberTable, links_per_domain: int) -> None:
        self._name = me.name
        self._failure_domain = me.failure_domain
        self._table = table
        self._links_per_domain = links_per_domain

    def is_near(self, member: Member) -> bool:
        """Tell whether a member is of the own failure domain.

        :param member: the member.
        :returns: true if it is.
        """
        return member.failure_domain == self._failure_domain

    def lacks(self, member: Member) -> bool:
        """Tell whether a member that is not followed would be welcome.

        :param member: the member.
        :returns: true if its failure domain is the own one or has too few links.
        """
        if self.is_near(member):
            return True
        return self._table.live_count(member.failure_domain) < self._links_per_domain

    def admits(self, claim: Member) -> bool:
        """Tell whether a claim is of a member that is or should be followed.

        :param claim: the claim.
        :returns: true if so; :meth:`displaced` then says who makes room.
        """
        if self.is_near(claim):
            return True
        known = self._table.get(claim.name)
        if not is_live(claim) or (known is not None and is_live(known)):
            return known is not None
        return self.lacks(claim) or self._rank(self._worst(claim)) < self._rank(claim)

    def displaced(self, claim: Member) -> str | None:
        """Choose the member that makes room for an admitted one.

        :param claim: the admitted claim.
        :returns: the name of the member to forget, if any.
        """
        known = self._table.get(claim.name)
        if not is_live(claim) or (known is not None and is_live(known)) or self.lacks(claim):
            return None
        return self._worst(claim).name

    def _worst(self, claim: Member) -> Member:
        return min(self._table.live(None, claim.failure_domain), key=self._rank)

    def _rank(self, member: Member) -> int:
        return rank(self._name, member.name)
