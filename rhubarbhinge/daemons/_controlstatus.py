"""The configuration and the members as operators see them: status document and gauges."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from rhubarbhinge.control import ConfigAge, Member
from rhubarbhinge.telemetry import Metrics


def control_status(
    ages: Iterable[ConfigAge], cross_faults: tuple[str, ...], members: Iterable[Member]
) -> dict[str, Any]:
    """Describe configuration and members.

    :param ages: the age of each document.
    :param cross_faults: what in the rules does not fit the register.
    :param members: all known members.
    :returns: plain data.
    """
    return {
        "config": {age.key: _age_document(age) for age in ages},
        "cross_faults": cross_faults,
        "members": {member.name: member.state for member in members},
    }


def fill_control(metrics: Metrics, ages: Iterable[ConfigAge], members: Iterable[Member]) -> None:
    """Fill the gauges of configuration and members.

    :param metrics: the node's metrics.
    :param ages: the age of each document.
    :param members: all known members.
    """
    for age in ages:
        metrics.set_config(age.key, age.revision, age.platform_age_ms)
    metrics.set_members(Counter(member.state for member in members))


def _age_document(age: ConfigAge) -> dict[str, Any]:
    refused = age.last_refused
    return {
        "revision": age.revision,
        "in_force_ms": age.in_force_ms,
        "platform_age_ms": age.platform_age_ms,
        "last_refused": (
            None
            if refused is None
            else {
                "revision": refused.revision,
                "faults": refused.faults,
            }
        ),
    }
