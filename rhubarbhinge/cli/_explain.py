"""The ``explain`` command."""

from rhubarbhinge.cli._check import check
from rhubarbhinge.cli._exit_code import ExitCode
from rhubarbhinge.cli._explanation import Explanation, explain_query, shown_share
from rhubarbhinge.cli._files import check_file
from rhubarbhinge.cli._result import CommandResult, failed
from rhubarbhinge.cli._tables import table
from rhubarbhinge.register import parse_register, parse_rules


def explain(register: str, rules: str, collection: str, traffic_class: str = "") -> CommandResult:
    """Show the plan and the policy for queries of a collection.

    Shows how many sub-queries a query makes, how its class treats them, what the loss of one
    failure domain leaves, and what one failure domain covers when it is cut off. Needs no network.

    :param register: file of the register
    :param rules: file of the rules
    :param collection: name of the collection
    :param traffic_class: class that the caller asks for; else the collection's own
    """
    verdict = check(register, rules)
    if verdict.faults:
        return verdict
    inventory = check_file(register, parse_register).value
    policy = check_file(rules, parse_rules).value
    found = inventory.collection(collection)
    if found is None:
        known = ", ".join(each.name for each in inventory.collections)
        return failed("unknown-collection", f"no collection {collection!r}", f"one of: {known}")
    if traffic_class and policy.traffic_class(traffic_class) is None:
        known = ", ".join(each.name for each in policy.classes)
        return failed("unknown-class", f"no class {traffic_class!r}", f"one of: {known}")
    explanation = explain_query(inventory, policy, found, traffic_class or None)
    return CommandResult(ExitCode.DONE, tuple(_lines(explanation)))


def _lines(found: Explanation) -> list[str]:
    policy = found.traffic_class
    header = ("failure domain", "upstreams", "slots", "left if it is lost", "covered if cut off")
    rows = [
        (
            share.failure_domain,
            share.upstreams,
            share.slots,
            _judged(share.without, policy.least_coverage),
            _judged(share.alone, policy.least_coverage),
        )
        for share in found.domains
    ]
    return [
        f"collection {found.collection} of {found.system}",
        f"  sub-queries: {found.shards}, one a shard",
        f"  replicas: {found.least_replicas} to {found.most_replicas} a shard",
        f"  leaving upstreams: {found.leaving}",
        f"  covered now: {_judged(found.coverage, policy.least_coverage)}",
        f"class {policy.name}, prefers {policy.prefers}",
        f"  weight: {policy.weight}",
        f"  deadline: {policy.deadline_ms} ms",
        f"  least coverage: {policy.least_coverage:g} of the records, else refused",
        f"  hedged: after the {policy.hedge_quantile:g} quantile of the latency",
        f"  hedges and retries: {found.extra_subqueries:g} sub-queries a query on average"
        f" ({policy.extra_load:g} of the base load)",
        "",
        *table(header, rows),
        "shares are of the key space; answers tell the share of the records",
    ]


def _judged(share: float, least: float) -> str:
    """Show a share, and whether it is too little to answer with."""
    return shown_share(share) + ("" if share >= least else ", refused")
