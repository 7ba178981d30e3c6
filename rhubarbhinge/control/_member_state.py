"""States of a member and which of two claims about a member prevails."""

from rhubarbhinge.wire._member import Member

ALIVE = "alive"
SUSPECT = "suspect"
LEAVING = "leaving"
DEAD = "dead"

_RANK = {ALIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3}
_UNDONE_BY_LEAVING = (ALIVE, SUSPECT)


def is_live(member: Member) -> bool:
    """Tell whether a member may get new work.

    A suspicion is no proof, so a suspected member counts as live.

    :param member: the member as known.
    :returns: true for alive and suspected members.
    """
    return member.state in (ALIVE, SUSPECT)


def supersedes(claim: Member, known: Member) -> bool:
    """Tell whether a claim about a member prevails over what is known.

    A newer incarnation prevails over all. Within an incarnation the larger counter prevails, which
    only the member itself can raise, then the worse state. Leaving is never undone within an
    incarnation.

    :param claim: the claim that arrived.
    :param known: what is known of the same name.
    :returns: true if the claim is to be adopted.
    """
    if claim.incarnation != known.incarnation:
        return claim.incarnation > known.incarnation
    if known.state == LEAVING and claim.state in _UNDONE_BY_LEAVING:
        return False
    claimed = (claim.counter, _RANK.get(claim.state, -1))
    return claimed > (known.counter, _RANK[known.state])
