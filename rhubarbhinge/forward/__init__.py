"""Sends requests to individual searchers: connection pool, reply parsing, retries and hedging."""

from rhubarbhinge.forward._attempt_control import UNLIMITED, AttemptControl, Unlimited
from rhubarbhinge.forward._call_context import CallContext
from rhubarbhinge.forward._call_terms import CallTerms
from rhubarbhinge.forward._caller_request import CallerRequest
from rhubarbhinge.forward._dialect import Dialect
from rhubarbhinge.forward._exchange import Attempt, Exchange, SendAttempt
from rhubarbhinge.forward._fingerprint import fingerprint
from rhubarbhinge.forward._outcome import FailureReason, GivenUp, Lost, NotRun, Outcome, Replied
from rhubarbhinge.forward._pending_exchange import least_on_time_ms, least_useful_ms
from rhubarbhinge.forward._pool import ConnectionPool
from rhubarbhinge.forward._reply_reader import RawReply, ReplyReader
from rhubarbhinge.forward._request_trace import RequestTrace
from rhubarbhinge.forward._result import Failed, Refused, ReplyReceived, Result
from rhubarbhinge.forward._search_terms import SearchTerms
from rhubarbhinge.forward._searcher_reply import SearcherReply
from rhubarbhinge.forward._service_call import ServiceCall

__all__ = [
    "Attempt",
    "AttemptControl",
    "CallContext",
    "CallTerms",
    "CallerRequest",
    "ConnectionPool",
    "Dialect",
    "Exchange",
    "Failed",
    "FailureReason",
    "GivenUp",
    "Lost",
    "NotRun",
    "Outcome",
    "RawReply",
    "Refused",
    "Replied",
    "ReplyReader",
    "ReplyReceived",
    "RequestTrace",
    "Result",
    "SearchTerms",
    "SearcherReply",
    "SendAttempt",
    "ServiceCall",
    "UNLIMITED",
    "Unlimited",
    "fingerprint",
    "least_on_time_ms",
    "least_useful_ms",
]
