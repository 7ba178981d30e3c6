"""The parser of the ``rules`` document, and the checks of rules against a register."""

from rhubarbhinge.register import _fields as fields
from rhubarbhinge.register import _raw as raws
from rhubarbhinge.register._faults import Checked, Fault, FaultLog
from rhubarbhinge.register._inventory import Register
from rhubarbhinge.register._parse_register import MOST_ACTIONS, MOST_COLLECTIONS, MOST_REVISION
from rhubarbhinge.register._rules import Limits, Route, Rules, TrafficClass
from rhubarbhinge.register._verdict import check_document

MOST_CLASSES = 32
MOST_WEIGHT = 1_000
MOST_DEADLINE_MS = 600_000
MOST_IN_FLIGHT = 1_000_000
LEAST_HEDGE_QUANTILE = 0.5
"""Below the median more sub-queries would be hedged than not."""

MOST_HEDGE_QUANTILE = 0.9999
"""Beyond, a latency histogram has too few samples to tell."""

_class = fields.record(
    TrafficClass,
    {
        "name": fields.name,
        "weight": fields.whole(1, MOST_WEIGHT),
        "prefers": fields.choice("latency", "coverage"),
        "deadline_ms": fields.whole(1, MOST_DEADLINE_MS),
        "least_coverage": fields.number(0, 1),
        "extra_load": fields.number(0, 1),
        "hedge_quantile": fields.number(LEAST_HEDGE_QUANTILE, MOST_HEDGE_QUANTILE),
    },
)
_route = fields.record(
    Route,
    {"collection": fields.name, "class": fields.name},
    renamed={"class": "traffic_class"},
)
_limits = fields.record(Limits, {"in_flight": fields.whole(1, MOST_IN_FLIGHT)})
_rules = fields.record(
    Rules,
    {
        "revision": fields.whole(1, MOST_REVISION),
        "classes": fields.array(_class, 1, MOST_CLASSES),
        "default_class": fields.name,
        "routes": fields.array(_route, 0, MOST_COLLECTIONS),
        "never_repeat": fields.array(fields.name, 0, MOST_ACTIONS),
        "limits": _limits,
    },
)


def parse_rules(data: bytes) -> Checked[Rules]:
    """Check a rules document.

    :param data: The raw document.
    :returns: The rules, or all faults found.
    """
    return check_document(data, _rules, _check_rules)


def cross_check(register: Register, rules: Rules) -> tuple[Fault, ...]:
    """Check rules against the register that they are for.

    :param register: The register.
    :param rules: The rules; places are of their document.
    :returns: The faults; none when the two fit.
    """
    log = FaultLog()
    collections = {collection.name for collection in register.collections}
    routes = enumerate(rules.routes)
    placed = [(f"routes[{index}].collection", route.collection) for index, route in routes]
    raws.check_known(log, placed, collections, "collection", "the register's collections")
    actions = {action.name for action in register.actions}
    placed = [(f"never_repeat[{index}]", name) for index, name in enumerate(rules.never_repeat)]
    raws.check_known(log, placed, actions, "action", "the register's actions")
    return log.faults()


def _check_rules(log: FaultLog, raw: object) -> None:
    classes = raws.names(raw, "classes")
    raws.check_unique(log, raws.placed_names(raw, "classes"), "the class")
    if isinstance(raw, dict):
        default = raws.text(raw, "default_class", "")
        raws.check_known(log, default, classes, "class", "classes")
    routes = list(raws.objects(raw, "routes"))
    for place, route in routes:
        raws.check_known(log, raws.text(route, "class", place), classes, "class", "classes")
    collections = [item for at, each in routes for item in raws.text(each, "collection", at)]
    raws.check_unique(log, collections, "the route of collection")
    raws.check_unique(log, raws.texts(raw, "never_repeat"), "the action")
