"""True coverage: what an answer states is what was searched."""

from collections.abc import Callable, Iterable, Mapping
from fractions import Fraction
from typing import Any

from rhubarbhinge.history._event import Event, named
from rhubarbhinge.history._violation import Violation

#: The key space of every collection (docs/architecture.md).
FIRST_KEY = 0
LAST_KEY = 65_536
#: Stated fractions are rounded down to this.
_FRACTION_STEP = Fraction(1, 1_000_000)

_Range = tuple[int, int]
_Snapshot = tuple[str, int]
_CountRecords = Callable[[str, int, int, int], int]


def true_coverage(events: Iterable[Event], count_records: _CountRecords) -> list[Violation]:
    """Check that answers state their coverage truly.

    :param events: the history; with ``served`` events, what is stated as covered has to have been
        served at the stated version.
    :param count_records: counts the records of a collection, version and range by the searchers'
        own data.
    :returns: answers that overstate or misstate what they cover.
    """
    events = list(events)
    served: dict[tuple[str, str, int], list[_Range]] = {}
    for event in named(events, "served"):
        key = (str(event["request"]), event["collection"], event["version"])
        served.setdefault(key, []).append((event["lo"], event["hi"]))
    checks_served = any(True for _ in named(events, "served"))
    found = []
    for event in named(events, "answered"):
        if "coverage" not in event["body"]:
            continue
        subject = str(event["request"])
        snapshot = event["body"]["snapshot"]
        pinned = (snapshot["collection"], snapshot["version"])
        answered = served.get((subject, *pinned), []) if checks_served else None
        for rule in _faults(event["body"]["coverage"], pinned, answered, count_records):
            found.append(Violation(rule, subject, str(event["body"]["coverage"])))
    return found


def covered_ranges(missing: Iterable[Mapping[str, Any]]) -> list[_Range] | None:
    """Give the ranges that an answer states as covered.

    :param missing: the ranges stated as missing, by first key.
    :returns: the rest of the key space; None when the missing ranges overlap or leave it.
    """
    covered = []
    at = FIRST_KEY
    for gap in missing:
        if not at <= gap["lo"] < gap["hi"] <= LAST_KEY:
            return None
        if at < gap["lo"]:
            covered.append((at, gap["lo"]))
        at = gap["hi"]
    if at < LAST_KEY:
        covered.append((at, LAST_KEY))
    return covered


def _faults(
    coverage: Mapping[str, Any],
    pinned: _Snapshot,
    served: list[_Range] | None,
    count_records: _CountRecords,
) -> list[str]:
    missing = coverage["missing"]
    covered = covered_ranges(missing)
    if covered is None:
        return ["missing-ranges-overlap"]
    if pinned[1] == 0:
        return ["coverage-overstated"] if covered or coverage["records"] else []
    records = sum(count_records(*pinned, lo, hi) for lo, hi in covered)
    total = count_records(*pinned, FIRST_KEY, LAST_KEY)
    faults = []
    share = Fraction(records, total) if total else Fraction(not missing)
    stated = Fraction(str(coverage["fraction"]))
    if coverage["records"] > records or stated > share:
        faults.append("coverage-overstated")
    if coverage["records"] < records or stated <= share - _FRACTION_STEP:
        faults.append("coverage-understated")
    if coverage["total_records"] != total:
        faults.append("total-misstated")
    if any(_misstated(gap, pinned, count_records) for gap in missing):
        faults.append("missing-misstated")
    if served is not None and any(not _is_within(span, served) for span in covered):
        faults.append("covered-not-served")
    return faults


def _misstated(gap: Mapping[str, Any], pinned: _Snapshot, count_records: _CountRecords) -> bool:
    stated = gap["records"]
    return stated is not None and stated != count_records(*pinned, gap["lo"], gap["hi"])


def _is_within(span: _Range, served: Iterable[_Range]) -> bool:
    at, end = span
    for lo, hi in sorted(served):
        if lo <= at < hi:
            at = hi
    return at >= end
