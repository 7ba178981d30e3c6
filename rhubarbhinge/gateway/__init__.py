"""The gateway process (entry), which serves callers according to published plans."""

from rhubarbhinge.gateway._address import Address
from rhubarbhinge.gateway._answer_lead_time import AnswerLeadTime
from rhubarbhinge.gateway._entry import Entry
from rhubarbhinge.gateway._entry_settings import EntrySettings, SettingsError
from rhubarbhinge.gateway._gateway import Gateway
from rhubarbhinge.gateway._gateway_dependencies import GatewayDependencies
from rhubarbhinge.gateway._run_entry import run_entry
from rhubarbhinge.gateway._weighted_round_robin import WeightedRoundRobin

__all__ = [
    "Address",
    "AnswerLeadTime",
    "Entry",
    "EntrySettings",
    "Gateway",
    "GatewayDependencies",
    "SettingsError",
    "WeightedRoundRobin",
    "run_entry",
]
