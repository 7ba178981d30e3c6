"""Offline checkers for recorded histories of concurrent runs.

A history is a sequence of events sorted by time. An event is a mapping with ``event``, ``at_ms``
(from one monotonic clock shared by all processes of a test) and the fields listed here:

===============  ================================================================================
``asked``        a caller sent ``request`` to ``node``
``answered``     a caller received an answer to ``request``: ``status``, ``body`` (JSON) and
                 ``whole``, false if it was truncated
``served``       the entry received a searcher's answer for ``request``: ``collection``,
                 ``version``, ``lo`` and ``hi``
``search``       a searcher, ``searcher``, accepted a search; ``arrived_ms``
``mint``         an entry minted ``ticket``
``bind``         a caller was given ``ticket`` for its idempotency ``key``
``send``         an entry sent ``ticket`` to a relay
``run``          a searcher, ``searcher``, ran ``ticket``; ``arrived_ms``
``refuse``       a searcher, ``searcher``, refused a request, with a ``code``
``drain``        a searcher, ``searcher``, started draining, on any signal
``drain-undone`` the searcher accepts requests again
``ready``        a node incarnation, ``node`` and ``incarnation``, became ready
``adopt``        the incarnation adopted ``revision`` of configuration ``key``
``stop``         the incarnation was told to stop
``end``          the incarnation ended
``publish``      a valid ``revision`` of configuration ``key`` was published
===============  ================================================================================

Every checker returns a list of violations, empty if the guarantee held. Callers pass functions that
interpret records and hits, so that the checkers don't rely on the code under test.
"""

from rhubarbhinge.history._answers import own_answer
from rhubarbhinge.history._configuration import monotonic_config
from rhubarbhinge.history._coverage import covered_ranges, true_coverage
from rhubarbhinge.history._drain import drain_bound
from rhubarbhinge.history._event import Event, read_events
from rhubarbhinge.history._once import at_most_once
from rhubarbhinge.history._snapshot import one_snapshot
from rhubarbhinge.history._stop import graceful_stop
from rhubarbhinge.history._violation import Violation

__all__ = [
    "Event",
    "Violation",
    "at_most_once",
    "covered_ranges",
    "drain_bound",
    "graceful_stop",
    "monotonic_config",
    "one_snapshot",
    "own_answer",
    "read_events",
    "true_coverage",
]
