"""State of the links and requests of a delegate client."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from msgspec import Struct, field

from rhubarbhinge.delegation._capacity_split import SplitCandidate
from rhubarbhinge.delegation._entry_load import EntryLoad
from rhubarbhinge.delegation._link_codec import LinkCodec
from rhubarbhinge.delegation._messages import DelegateReply
from rhubarbhinge.gather import GrantAttempts
from rhubarbhinge.members import UNKNOWN_CAPACITY, Member, VmCapacity
from rhubarbhinge.timing import TimerHandle

OnReply = Callable[[DelegateReply | None], None]
"""Called with each reply, of which the last has no pending shards; or with None when the delegate
failed and the remaining shards have to be searched in another way."""
OnGivenUp = Callable[[], None]
"""Called when a request is given up before it is known whether the delegate has begun. The result
follows: a reply that lists all shards as untried, or None when the delegate may have sent them."""


class GivenUpHandle(Protocol):
    """Part of the handle of a request that the client uses."""

    on_given_up: OnGivenUp | None


class Link(Struct, eq=False):
    """State of a link.

    :param ip: IP address of the entry.
    :param failure_domain: its failure domain.
    :param codec: encodes and decodes the messages of the link.
    :param is_open: whether the link is established.
    :param load: sub-queries in progress at the entry, as it last reported them.
    :param capacity: resources of its VM, as known when it was last chosen.
    """

    ip: str
    failure_domain: str
    codec: LinkCodec
    is_open: bool = False
    load: EntryLoad = field(default_factory=EntryLoad)
    capacity: VmCapacity = UNKNOWN_CAPACITY


class Call(Struct, eq=False):
    """State of a request.

    :param handle: the handle that was returned to the requester.
    :param link: the link on which it was sent.
    :param ip: IP address of the entry.
    :param request_id: id of the caller's request.
    :param on_reply: called with the results.
    :param grant: decides on further attempts that the delegate requests.
    :param timer: limits the time until the next message about the request.
    :param sent_ms: time at which it was sent.
    :param due_ms: time until which the first results have to arrive.
    :param pending_shards: number of its shards without a result.
    :param replied: whether any results have arrived.
    :param is_given_up: whether it was given up, while the delegate may still reply that it has not
        begun.
    """

    handle: GivenUpHandle
    link: int
    ip: str
    request_id: str
    on_reply: OnReply
    grant: GrantAttempts
    timer: TimerHandle
    sent_ms: float
    due_ms: float
    pending_shards: int
    replied: bool = False
    is_given_up: bool = False


def split_candidates(
    members: Iterable[Member],
    number_by_ip: Mapping[str, int],
    links: Mapping[int, Link],
    calls: Mapping[int, Call],
    now_ms: float,
) -> list[SplitCandidate]:
    """Estimate the load of the connected entries among some.

    :param members: the entries.
    :param number_by_ip: the links of entries.
    :param links: states of the links.
    :param calls: states of the requests in progress.
    :param now_ms: the current time.
    :returns: the connected entries, in the given order.
    """
    unreported: Counter[int] = Counter()
    for number, call in calls.items():
        # Requests on a link that has just been closed are about to fail.
        link = links.get(call.link)
        if link is not None and not link.load.covers(number):
            unreported[call.link] += call.pending_shards
    candidates = []
    for member in members:
        number = number_by_ip.get(member.ip, -1)
        link = links.get(number)
        if link is not None and link.is_open:
            in_progress = link.load.estimate(now_ms) + unreported[number]
            candidates.append(SplitCandidate(member.ip, member.capacity, in_progress))
    return candidates
