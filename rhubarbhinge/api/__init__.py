"""HTTP API for callers: validates request bodies and renders responses."""

from rhubarbhinge.api._apierror import ApiError
from rhubarbhinge.api._commands import RunCommand, SearchCommand
from rhubarbhinge.api._parse import action_fields, parse_run, parse_search
from rhubarbhinge.api._render import answer, error, outcome, redirect, shortfall

__all__ = [
    "ApiError",
    "RunCommand",
    "SearchCommand",
    "action_fields",
    "answer",
    "error",
    "outcome",
    "parse_run",
    "parse_search",
    "redirect",
    "shortfall",
]
