"""Promises, checked from what callers and searchers saw."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from standins.operators import Searcher
from tools.soak._seen import Arrival, Exchanged, Seen

TOP_K = 7
MOST_ATTEMPTS = 2
"""Searchers of a service that one attempt of a caller may be begun at."""
DRAIN_S = 3.0
"""So long after a searcher has left the store nothing more arrives at it."""
IN_TOUCH_S = 4.0
"""An entry counts as in touch so long after anything was done to it or to the store."""
APPLY_S = 3.0
"""So long after its acknowledgement a change is in force at entries in touch."""
FATAL_ENDS, FATAL_RETRIES = 3, 3
"""Once so many searchers have ended under a request, so many more attempts may arrive."""
STOP_S = 6.0
"""The grace of a stop."""
CROSSED_S = 0.5
"""A request that is cut off sooner may have crossed the close of its connection."""
BACK_SHARE = 0.95
"""Part of the requests that is served once all is calm."""
STORE_CALLS_PER_S = 2_000
"""Reading calls that the store bears from all entries together."""
MORE_DESCRIPTORS = 60
"""Descriptors that an entry may have more at the end, for connections that are still kept."""
NOT_RUN = (408, 421, 429, 503)


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken.

    :param check: name of the check.
    :param request_id: the request; empty for what concerns none.
    :param detail: what was seen.
    """

    check: str
    request_id: str
    detail: str


@dataclass(frozen=True, slots=True)
class Checked:
    """What checks found.

    :param counts: how often each check was exercised.
    :param violations: what was broken.
    """

    counts: dict[str, int]
    violations: tuple[Violation, ...]


Finding = str | tuple[str, str] | None
"""None for what holds; or what was seen, with the request's id first where there is one."""
Check = Callable[[Seen], Iterable[Finding]]


def check_all(seen: Seen) -> Checked:
    """Check all promises.

    :param seen: what was seen.
    :returns: what was found.
    """
    counts: Counter[str] = Counter()
    violations = []
    for name, check in CHECKS.items():
        counts[name] = 0
        for finding in check(seen):
            counts[name] += 1
            if finding is not None:
                request_id, detail = finding if isinstance(finding, tuple) else ("", finding)
                violations.append(Violation(name, request_id, detail))
    return Checked(dict(counts), tuple(violations))


def _answers_are_whole_and_own(seen: Seen) -> Iterator[Finding]:
    """A success holds just the records of the services that it names, of this very request."""
    for one in seen.exchanged:
        if one.status == 200:
            fault = _search_fault(one) if one.path.startswith("/search/") else _single_fault(one)
            yield (one.id, fault) if fault else None


def _search_fault(one: Exchanged) -> str:
    names = one.headers.get("x-part-seals", "").split(", ")
    services = [name.partition(".")[0] for name in names]
    if any(name != f"{service}.{one.id}" for name, service in zip(names, services, strict=True)):
        return f"signatures {names}"
    if len(set(services)) != len(services):
        return f"a service twice: {services}"
    records = [record for name in services for record in Searcher.records(name, one.id)]
    expected = b"".join(sorted(records, reverse=True)[:TOP_K])
    return "" if one.body == expected else "other records than those of the parts"


def _single_fault(one: Exchanged) -> str:
    service, _, request_id = one.headers.get("x-response-seal", "").partition(".")
    if request_id != one.id:
        return f"signature {service}.{request_id}"
    return "" if one.body == b"".join(Searcher.records(service, one.id)) else "another body"


def _not_run_is_true(seen: Seen) -> Iterator[Finding]:
    """What is refused as not run was begun nowhere."""
    begun = {arrival.id for arrival in seen.arrivals if arrival.begun}
    for one in seen.exchanged:
        if one.status in NOT_RUN:
            yield (one.id, f"{one.status}, and it was begun") if one.id in begun else None


def _refusals_tell_when(seen: Seen) -> Iterator[Finding]:
    """What is refused as not run says when to come back."""
    for one in seen.exchanged:
        if one.status == 503:
            delay = one.headers.get("retry-after", "")
            is_told = delay.replace(".", "", 1).isdigit() and float(delay) > 0
            yield None if is_told else (one.id, f"Retry-After {delay!r}")


def _at_most_once(seen: Seen) -> Iterator[Finding]:
    """What must not repeat is begun once at most."""
    begun: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in seen.arrivals:
        if arrival.begun:
            begun[arrival.id].append(arrival)
    for one in seen.exchanged:
        if one.path.startswith("/once/") and one.id in begun:
            where = ", ".join(
                f"{arrival.searcher} {arrival.at_s - one.sent_s:.3f} s" for arrival in begun[one.id]
            )
            twice = len(begun[one.id]) > 1
            yield (one.id, f"{one.status} of {one.entry}, begun at {where}") if twice else None


def _attempts(seen: Seen) -> Iterator[Finding]:
    """A request is begun at no more searchers of a service than its route allows."""
    searchers: dict[tuple[str, str], set[str]] = defaultdict(set)
    for arrival in seen.arrivals:
        if arrival.begun:
            searchers[arrival.id, arrival.service].add(arrival.searcher)
    for (request_id, service), names in searchers.items():
        fault = f"{len(names)} searchers of {service}"
        yield (request_id, fault) if len(names) > MOST_ATTEMPTS else None


def _nothing_unasked(seen: Seen) -> Iterator[Finding]:
    """Searchers get only what a caller has sent."""
    sent = {one.id for one in seen.exchanged}
    for request_id in {arrival.id for arrival in seen.arrivals}:
        yield None if request_id in sent else (request_id, "nobody sent it")


def _drains(seen: Seen) -> Iterator[Finding]:
    """Nothing arrives at a searcher that left, from callers of entries in touch."""
    entry_of = {one.id: one.entry for one in seen.exchanged}
    by_searcher: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in seen.arrivals:
        by_searcher[arrival.searcher].append(arrival)
    for searcher, left_s in seen.left_s.items():
        late = [one for one in by_searcher[searcher] if one.at_s > left_s + DRAIN_S]
        bad = [one.id for one in late if _all_in_touch(seen, entry_of.get(one.id), one.at_s)]
        yield (bad[0], f"{len(bad)} arrive at {searcher}, the first late") if bad else None


def _all_in_touch(seen: Seen, entry: str | None, at_s: float) -> bool:
    return entry is not None and not any(
        _is_near(span, at_s)
        for spans in (*seen.disturbed.values(), *seen.store_lost.values(), seen.store_trouble)
        for span in spans
    )


def _is_near(span: tuple[float, float], at_s: float) -> bool:
    """Tell whether what was done in a span still excuses an entry at a time."""
    start_s, end_s = span
    return start_s < at_s < end_s + IN_TOUCH_S


def _changes_are_in_force(seen: Seen) -> Iterator[Finding]:
    """A route that was added is known to entries in touch by the time that a change may take."""
    for one in seen.exchanged:
        acknowledged_s = seen.acknowledged_s.get(one.path)
        if acknowledged_s is None or one.sent_s < acknowledged_s + APPLY_S:
            continue
        spans = (
            *seen.disturbed.get(one.entry, ()),
            *seen.store_lost.get(one.entry, ()),
            *seen.store_trouble,
            *seen.held_up,
        )
        if one.status == 0 or any(_is_near(span, one.sent_s) for span in spans):
            continue
        unknown = one.status == 404 or b"stale-plan" in one.body
        late_s = one.sent_s - acknowledged_s
        fault = f"{one.entry} does not know {one.path} {late_s:.2f} s after its acknowledgement"
        yield (one.id, fault) if unknown else None


def _limits_are_followed(seen: Seen) -> Iterator[Finding]:
    """A body that every configuration allows which may be in force is not too large."""
    ends_s = [limit.acknowledged_s + APPLY_S for limit in seen.limits[1:]] + [float("inf")]
    spans = list(zip(seen.limits, ends_s, strict=True))
    for one in seen.exchanged:
        if not one.body_bytes or one.status == 0:
            continue
        may_be_in_force = [
            limit.body_bytes
            for limit, end_s in spans
            if limit.begun_s <= one.ended_s and one.sent_s <= end_s
        ]
        excuses = (
            *seen.disturbed.get(one.entry, ()),
            *seen.store_lost.get(one.entry, ()),
            *seen.store_trouble,
            *seen.held_up,
        )
        if any(_is_near(span, one.sent_s) for span in excuses):
            continue
        denied = one.status == 413 and one.body_bytes <= min(may_be_in_force)
        yield (one.id, f"{one.entry} denies {one.body_bytes} bytes") if denied else None


def _no_process_ends_by_itself(seen: Seen) -> Iterator[Finding]:
    yield ", ".join(seen.ended_by_itself) or None


def _stops_end_in_time(seen: Seen) -> Iterator[Finding]:
    """A stop ends with code 0 within its grace."""
    for name, took_s, code in seen.stops:
        good = code == 0 and took_s <= STOP_S
        yield None if good else f"{name} took {took_s:.1f} s, code {code}"


def _stops_cut_nobody_off(seen: Seen) -> Iterator[Finding]:
    """Who sent a request that an entry passed on, or that waited there, gets an answer, unless the
    entry was killed or frozen meanwhile; one that crosses the close of its connection is neither.
    """
    arrived = {arrival.id for arrival in seen.arrivals}
    for one in seen.exchanged:
        waited = one.ended_s - one.sent_s > CROSSED_S
        if one.left or not (waited or one.id in arrived):
            continue
        spans = seen.disturbed.get(one.entry, [])
        hit = any(start_s < one.ended_s and one.sent_s < end_s for start_s, end_s in spans)
        if not hit:
            yield (one.id, f"no answer of {one.entry}") if one.status == 0 else None


def _fatal_requests(seen: Seen) -> Iterator[Finding]:
    """A request that ends its searchers does not go on reaching them."""
    arrived = {arrival.id for arrival in seen.arrivals}
    for path, ends_s in seen.fatal_ends_s.items():
        if len(ends_s) < FATAL_ENDS:
            continue
        since_s = sorted(ends_s)[FATAL_ENDS - 1] + IN_TOUCH_S
        late = [
            one.id
            for one in seen.exchanged
            if one.path == path and one.sent_s > since_s and one.id in arrived
        ]
        in_touch = [
            name
            for name in late
            for one in seen.exchanged
            if one.id == name and _in_touch(seen, one)
        ]
        fault = (path, f"{len(in_touch)} attempts after {len(ends_s)} ends")
        yield fault if len(in_touch) > FATAL_RETRIES else None


def _in_touch(seen: Seen, one: Exchanged) -> bool:
    spans = seen.disturbed.get(one.entry, [])
    return not any(start_s < one.sent_s < end_s + IN_TOUCH_S for start_s, end_s in spans)


def _all_comes_back(seen: Seen) -> Iterator[Finding]:
    """Once all is calm, entries in touch serve requests, those of routes that were added too."""
    calm = [one for one in seen.exchanged if one.sent_s > seen.calm_from_s and not one.left]
    by_kind: dict[str, list[bool]] = defaultdict(list)
    for one in calm:
        if one.path not in seen.fatal_ends_s and _in_touch(seen, one):
            by_kind[one.path.split("/")[1]].append(one.status == 200)
    for kind, served in by_kind.items():
        share = sum(served) / len(served)
        yield f"{kind}: {share:.2f} of {len(served)} served" if share < BACK_SHARE else None
    asked = {one.path.split("/")[1] for one in calm}
    for path in seen.paths:
        if path.split("/")[1] not in asked:
            yield f"{path} was never asked when all was calm"


def _store_calls_are_paced(seen: Seen) -> Iterator[Finding]:
    """No entry calls the store for more than its part of what the store bears."""
    for name, calls_per_s in seen.store_calls_per_s.items():
        allowed = STORE_CALLS_PER_S / len(seen.store_calls_per_s)
        yield f"{name}: {calls_per_s:.0f} in a second" if calls_per_s > allowed else None


def _descriptors_come_back(seen: Seen) -> Iterator[Finding]:
    for name, (before, after) in seen.descriptors.items():
        fault = f"{name}: {before} to {after} open descriptors"
        yield fault if after > before + MORE_DESCRIPTORS else None


CHECKS: dict[str, Check] = {
    "answers are whole and own": _answers_are_whole_and_own,
    "not run is true": _not_run_is_true,
    "refusals tell when": _refusals_tell_when,
    "at most once": _at_most_once,
    "attempts": _attempts,
    "nothing unasked": _nothing_unasked,
    "drains": _drains,
    "changes are in force": _changes_are_in_force,
    "limits are followed": _limits_are_followed,
    "no process ends by itself": _no_process_ends_by_itself,
    "stops end in time": _stops_end_in_time,
    "nobody is cut off": _stops_cut_nobody_off,
    "fatal requests": _fatal_requests,
    "all comes back": _all_comes_back,
    "store calls are paced": _store_calls_are_paced,
    "descriptors come back": _descriptors_come_back,
}
"""All checks by name."""
