"""Configuration of what is served: routes, services, shard sets and caller limits."""

from rhubarbhinge.plans._caller_limits import CallerLimits
from rhubarbhinge.plans._plan_change import PlanChange, UnchangedRoutes
from rhubarbhinge.plans._route import Route
from rhubarbhinge.plans._service import Service
from rhubarbhinge.plans._serving_plan import ServingPlan
from rhubarbhinge.plans._shard_set import ShardSet
from rhubarbhinge.plans._weighted_service import WeightedService

__all__ = [
    "CallerLimits",
    "PlanChange",
    "Route",
    "Service",
    "ServingPlan",
    "ShardSet",
    "UnchangedRoutes",
    "WeightedService",
]
