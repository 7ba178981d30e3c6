"""The ``check`` command."""

from rhubarbhinge.cli._exit_code import ExitCode
from rhubarbhinge.cli._files import check_file, placed
from rhubarbhinge.cli._result import CommandResult
from rhubarbhinge.cli._tables import table
from rhubarbhinge.register import (
    Checked,
    Collection,
    Fault,
    Register,
    Rules,
    cross_check,
    parse_register,
    parse_rules,
)


def check(register: str, rules: str) -> CommandResult:
    """Check a register and its rules before you publish them.

    Lists every fault with its place and what to do about it, or a summary when there is none. The
    nodes go by the same verdict. Needs no network.

    :param register: file of the register
    :param rules: file of the rules
    """
    checked_register = check_file(register, parse_register)
    checked_rules = check_file(rules, parse_rules)
    faults = _faults(register, checked_register) + _faults(rules, checked_rules)
    if checked_register.ok and checked_rules.ok:
        faults += placed(rules, cross_check(checked_register.value, checked_rules.value))
    if faults:
        return CommandResult(ExitCode.FAULT, faults=faults)
    return CommandResult(
        ExitCode.DONE, tuple(_summary(checked_register.value, checked_rules.value))
    )


def _faults(path: str, checked: Checked) -> tuple[Fault, ...]:
    if not checked.more_faults:
        return checked.faults
    message = f"{checked.more_faults} more faults were found and aren't listed"
    return checked.faults + (Fault(path, "more-faults", message, "mend the others, then check"),)


def _summary(register: Register, rules: Rules) -> list[str]:
    counts = [
        ("failure domains", len(register.failure_domains)),
        ("upstreams", len(register.upstreams)),
        ("leaving upstreams", sum(upstream.leaving for upstream in register.upstreams)),
        ("collections", len(register.collections)),
        ("shards", sum(len(collection.shards) for collection in register.collections)),
        ("actions", len(register.actions)),
        ("actions never repeated", len(rules.never_repeat)),
    ]
    header = ("collection", "class", "shards", "upstreams", "fewest failure domains")
    rows = [_collection_row(each, register, rules) for each in register.collections]
    first = f"good: {register.tenant}, register {register.revision}, rules {rules.revision}"
    return [first, *(f"  {name}: {count}" for name, count in counts), "", *table(header, rows)]


def _collection_row(collection: Collection, register: Register, rules: Rules) -> tuple:
    upstreams = {name for shard in collection.shards for name in shard.upstreams}
    fewest = min(
        len({register.upstream(name).failure_domain for name in shard.upstreams})
        for shard in collection.shards
    )
    name = rules.class_for(collection.name).name
    return (collection.name, name, len(collection.shards), len(upstreams), fewest)
