"""Checks that the coverage stated in an answer matches what was searched."""

from collections.abc import Callable, Iterable, Mapping
from fractions import Fraction
from typing import Any

from rhubarbhinge.history._event import Event, select_events
from rhubarbhinge.history._violation import Violation

#: Key space of every collection; the end is exclusive (docs/architecture.md).
_KEY_SPACE_START = 0
_KEY_SPACE_END = 65_536
#: Resolution to which answers round their coverage fractions down.
_FRACTION_STEP = Fraction(1, 1_000_000)

_KeyRange = tuple[int, int]
_Snapshot = tuple[str, int]
_CountRecords = Callable[[str, int, int, int], int]


def true_coverage(events: Iterable[Event], count_records: _CountRecords) -> list[Violation]:
    """Check that answers state their coverage correctly.

    :param events: the history; if it has ``served`` events, every range stated as covered must have
        been served at the stated version.
    :param count_records: counts the records of a collection, version and key range in the
        searchers' own data.
    :returns: violations for answers that misstate their coverage or claim ranges not served.
    """
    events = list(events)
    served: dict[tuple[str, str, int], list[_KeyRange]] = {}
    for event in select_events(events, "served"):
        key = (str(event["request"]), event["collection"], event["version"])
        served.setdefault(key, []).append((event["lo"], event["hi"]))
    has_served_events = any(True for _ in select_events(events, "served"))
    violations = []
    for event in select_events(events, "answered"):
        if "coverage" not in event["body"]:
            continue
        subject = str(event["request"])
        snapshot = event["body"]["snapshot"]
        snapshot_id = (snapshot["collection"], snapshot["version"])
        served_ranges = served.get((subject, *snapshot_id), []) if has_served_events else None
        for rule in _broken_rules(
            event["body"]["coverage"], snapshot_id, served_ranges, count_records
        ):
            violations.append(Violation(rule, subject, str(event["body"]["coverage"])))
    return violations


def covered_ranges(missing: Iterable[Mapping[str, Any]]) -> list[_KeyRange] | None:
    """Return the key ranges that an answer states as covered.

    :param missing: the ranges stated as missing, sorted by first key.
    :returns: the rest of the key space; None if the missing ranges are empty, overlap, are unsorted
        or exceed the key space.
    """
    covered = []
    next_key = _KEY_SPACE_START
    for missing_range in missing:
        if not next_key <= missing_range["lo"] < missing_range["hi"] <= _KEY_SPACE_END:
            return None
        if next_key < missing_range["lo"]:
            covered.append((next_key, missing_range["lo"]))
        next_key = missing_range["hi"]
    if next_key < _KEY_SPACE_END:
        covered.append((next_key, _KEY_SPACE_END))
    return covered


def _broken_rules(
    coverage: Mapping[str, Any],
    snapshot_id: _Snapshot,
    served: list[_KeyRange] | None,
    count_records: _CountRecords,
) -> list[str]:
    missing = coverage["missing"]
    covered = covered_ranges(missing)
    if covered is None:
        return ["missing-ranges-overlap"]
    if snapshot_id[1] == 0:
        return ["coverage-overstated"] if covered or coverage["records"] else []
    records = sum(count_records(*snapshot_id, lo, hi) for lo, hi in covered)
    total = count_records(*snapshot_id, _KEY_SPACE_START, _KEY_SPACE_END)
    rules = []
    actual = Fraction(records, total) if total else Fraction(not missing)
    stated = Fraction(str(coverage["fraction"]))
    if coverage["records"] > records or stated > actual:
        rules.append("coverage-overstated")
    if coverage["records"] < records or stated <= actual - _FRACTION_STEP:
        rules.append("coverage-understated")
    if coverage["total_records"] != total:
        rules.append("total-misstated")
    if any(
        _is_count_misstated(missing_range, snapshot_id, count_records) for missing_range in missing
    ):
        rules.append("missing-misstated")
    if served is not None and any(not _is_fully_served(key_range, served) for key_range in covered):
        rules.append("covered-not-served")
    return rules


def _is_count_misstated(
    missing_range: Mapping[str, Any], snapshot_id: _Snapshot, count_records: _CountRecords
) -> bool:
    stated = missing_range["records"]
    return stated is not None and stated != count_records(
        *snapshot_id, missing_range["lo"], missing_range["hi"]
    )


def _is_fully_served(key_range: _KeyRange, served: Iterable[_KeyRange]) -> bool:
    next_key, end = key_range
    for lo, hi in sorted(served):
        if lo <= next_key < hi:
            next_key = hi
    return next_key >= end
