"""The parser of the ``rules`` document, and the checks of rules against a register."""

from rhubarbhinge.register import _fields as fields
from rhubarbhinge.register import _lenient as lenient
from rhubarbhinge.register._check_document import check_document
from rhubarbhinge.register._faults import Checked, Fault, FaultLog
from rhubarbhinge.register._inventory import Register
from rhubarbhinge.register._parse_register import MAX_ACTIONS, MAX_COLLECTIONS, MAX_REVISION
from rhubarbhinge.register._rules import Limits, Route, Rules, TrafficClass

MAX_CLASSES = 32
MAX_WEIGHT = 1_000
MAX_DEADLINE_MS = 600_000
MAX_IN_FLIGHT = 1_000_000
MIN_HEDGE_QUANTILE = 0.5
"""Below the median, more than half of all sub-queries would be hedged."""

MAX_HEDGE_QUANTILE = 0.9999
"""Above this quantile, a latency histogram has too few samples for an estimate."""

_class_parser = fields.record(
    TrafficClass,
    {
        "name": fields.name,
        "weight": fields.integer(1, MAX_WEIGHT),
        "prefers": fields.choice("latency", "coverage"),
        "deadline_ms": fields.integer(1, MAX_DEADLINE_MS),
        "least_coverage": fields.number(0, 1),
        "extra_load": fields.number(0, 1),
        "hedge_quantile": fields.number(MIN_HEDGE_QUANTILE, MAX_HEDGE_QUANTILE),
    },
)
_route_parser = fields.record(
    Route,
    {"collection": fields.name, "class": fields.name},
    argument_names={"class": "traffic_class"},
)
_limits_parser = fields.record(Limits, {"in_flight": fields.integer(1, MAX_IN_FLIGHT)})
_rules_parser = fields.record(
    Rules,
    {
        "revision": fields.integer(1, MAX_REVISION),
        "classes": fields.array(_class_parser, 1, MAX_CLASSES),
        "default_class": fields.name,
        "routes": fields.array(_route_parser, 0, MAX_COLLECTIONS),
        "never_repeat": fields.array(fields.name, 0, MAX_ACTIONS),
        "limits": _limits_parser,
    },
)


def parse_rules(data: bytes) -> Checked[Rules]:
    """Check a rules document.

    :param data: The raw document.
    :returns: The rules, or all faults found.
    """
    return check_document(data, _rules_parser, _check_rules)


def cross_check(register: Register, rules: Rules) -> tuple[Fault, ...]:
    """Check rules against the register they apply to.

    :param register: The register.
    :param rules: The rules; the places of the faults refer to their document.
    :returns: The faults; empty if the rules fit the register.
    """
    log = FaultLog()
    collections = {collection.name for collection in register.collections}
    routes = enumerate(rules.routes)
    placed = [(f"routes[{index}].collection", route.collection) for index, route in routes]
    lenient.check_references(log, placed, collections, "collection", "the register's collections")
    actions = {action.name for action in register.actions}
    placed = [(f"never_repeat[{index}]", name) for index, name in enumerate(rules.never_repeat)]
    lenient.check_references(log, placed, actions, "action", "the register's actions")
    return log.faults()


def _check_rules(log: FaultLog, raw: object) -> None:
    classes = lenient.objects_by_name(raw, "classes")
    lenient.check_unique(log, lenient.placed_names(raw, "classes"), "the class")
    if isinstance(raw, dict):
        default = lenient.string(raw, "default_class", "")
        lenient.check_references(log, default, classes, "class", "classes")
    routes = list(lenient.objects(raw, "routes"))
    for place, route in routes:
        lenient.check_references(
            log, lenient.string(route, "class", place), classes, "class", "classes"
        )
    collections = [
        item for place, route in routes for item in lenient.string(route, "collection", place)
    ]
    lenient.check_unique(log, collections, "the route of collection")
    lenient.check_unique(log, lenient.strings(raw, "never_repeat"), "the action")
