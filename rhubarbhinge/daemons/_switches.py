"""Policies with the mechanisms that the settings switch off."""

from rhubarbhinge.query import QueryPolicy
from rhubarbhinge.routing import RelayPolicy
from rhubarbhinge.settings import NodeSettings


def query_policy(settings: NodeSettings) -> QueryPolicy:
    """Give the query core's policy.

    :param settings: the node's settings.
    :returns: the policy.
    """
    off = settings.switched_off
    return QueryPolicy(
        hedging="hedging" not in off,
        own_observation="own-observation" not in off,
        budgeted="retry-budget" not in off,
    )


def relay_policy(settings: NodeSettings) -> RelayPolicy:
    """Give the relay core's policy.

    :param settings: the node's settings.
    :returns: the policy.
    """
    off = settings.switched_off
    usual = RelayPolicy()
    return RelayPolicy(
        early_refusal="early-refusal" not in off,
        spare_connections=0 if "open-ahead" in off else usual.spare_connections,
    )
