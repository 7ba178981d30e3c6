"""Validation of searchers' health documents."""

from dataclasses import dataclass
from typing import Any

from rhubarbhinge.wire import HoldingReport

#: States that a searcher may report.
STATES = ("ready", "warming", "draining")


@dataclass(frozen=True, slots=True)
class HealthDoc:
    """A validated health document.

    :param incarnation: its incarnation; later ones are larger.
    :param state: one of :data:`STATES`.
    :param holding: collections and ranges that the searcher holds.
    """

    incarnation: int
    state: str
    holding: HoldingReport


def parse_health_doc(upstream_id: int, name: str, doc: Any) -> HealthDoc | None:
    """Validate a health document.

    :param upstream_id: the searcher's number.
    :param name: the searcher's name in the register.
    :param doc: parsed JSON from an untrusted source.
    :returns: the validated document, or None if it is malformed or of another searcher.
    """
    try:
        if doc["name"] != name or doc["state"] not in STATES:
            return None
        incarnation = _unsigned(doc["incarnation"])
        holding = _holding(upstream_id, incarnation, doc.get("collections", {}))
        return HealthDoc(incarnation, doc["state"], holding)
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def _holding(upstream_id: int, incarnation: int, collections: dict[str, Any]) -> HoldingReport:
    rows = sorted(_rows(collections))
    columns = tuple(zip(*rows, strict=True)) or ((),) * 6
    return HoldingReport(upstream_id, incarnation, *columns)


def _rows(collections: dict[str, Any]) -> list[tuple[str, int, int, int, int, int]]:
    return [
        (
            str(collection),
            _unsigned(int(version)),
            _unsigned(held["total_records"]),
            _unsigned(held_range["lo"]),
            _unsigned(held_range["hi"]),
            _unsigned(held_range["records"]),
        )
        for collection, versions in collections.items()
        for version, held in versions.items()
        for held_range in held["ranges"]
    ]


def _unsigned(value: Any) -> int:
    if type(value) is not int or not 0 <= value < 1 << 64:
        raise ValueError("expected an unsigned 64-bit integer")
    return value
