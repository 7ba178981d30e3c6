"""The program that answers callers from published plans."""

from rhubarbhinge.gateway._address import Address
from rhubarbhinge.gateway._answer_lead import AnswerLead
from rhubarbhinge.gateway._entry import Entry
from rhubarbhinge.gateway._entry_settings import EntrySettings, SettingsError
from rhubarbhinge.gateway._gateway import Gateway
from rhubarbhinge.gateway._gateway_parts import GatewayParts
from rhubarbhinge.gateway._run_entry import run_entry
from rhubarbhinge.gateway._split import Splitter

__all__ = [
    "Address",
    "AnswerLead",
    "Entry",
    "EntrySettings",
    "Gateway",
    "GatewayParts",
    "SettingsError",
    "Splitter",
    "run_entry",
]
