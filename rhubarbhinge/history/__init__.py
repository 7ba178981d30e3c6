"""Checks recorded histories of concurrent runs, after the fact.

A history is a sequence of events in the order of their time; an event is a mapping with ``event``,
``at_ms`` (one monotonic clock for all processes of a test) and the fields named here:

===============  ================================================================================
``asked``        a caller sent ``request`` to ``node``
``answered``     a caller got an answer to ``request``: ``status``, ``body`` (JSON) and ``whole``
``served``       a searcher's answer for ``request`` came back to the entry: ``collection``,
                 ``version``, ``lo`` and ``hi``
``search``       a searcher, ``searcher``, took a search; ``arrived_ms``
``mint``         an entry minted ``ticket``
``bind``         a caller was shown ``ticket`` for its idempotency ``key``
``send``         an entry sent ``ticket`` to a relay
``run``          a searcher, ``searcher``, ran ``ticket``; ``arrived_ms``
``refuse``       a searcher, ``searcher``, refused work, with a ``code``
``drain``        a searcher, ``searcher``, began to leave, by any signal
``drain-undone`` it takes work again
``ready``        a node's life, ``node`` and ``incarnation``, is ready
``adopt``        the life put ``revision`` of ``key`` in force
``stop``         the life was told to stop
``end``          the life ended
``publish``      an acceptable ``revision`` of ``key`` was published
===============  ================================================================================

Every checker returns what it found, nothing when the promise held. What a record or a hit is, the
checkers are told by functions, so that they do not trust the code under test.
"""

from rhubarbhinge.history._answers import own_answer
from rhubarbhinge.history._configuration import monotonic_config
from rhubarbhinge.history._coverage import covered_ranges, true_coverage
from rhubarbhinge.history._drain import drain_bound
from rhubarbhinge.history._event import Event, read_events
from rhubarbhinge.history._once import at_most_once
from rhubarbhinge.history._snapshot import one_snapshot
from rhubarbhinge.history._stop import no_cut
from rhubarbhinge.history._violation import Violation

__all__ = [
    "Event",
    "Violation",
    "at_most_once",
    "covered_ranges",
    "drain_bound",
    "monotonic_config",
    "no_cut",
    "one_snapshot",
    "own_answer",
    "read_events",
    "true_coverage",
]
