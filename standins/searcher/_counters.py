"""What a searcher counts."""

from dataclasses import dataclass


@dataclass(slots=True)
class Counters:
    """What a searcher has counted since its start.

    :param searches: Searches that arrived.
    :param started: Searches whose execution began.
    :param searched: Searches executed to their end.
    :param runs: Actions run.
    :param shed: Requests shed.
    :param refused_draining: Requests refused because the searcher leaves.
    :param late: Requests that met their deadline.
    :param cancelled: Searches stopped by a cancel or by a closed connection.
    :param waited: Requests that found every slot busy and waited.
    :param most_waiting: The longest queue.
    :param busy_ms: Slot time spent on searches, stopped ones included.
    """

    searches: int = 0
    started: int = 0
    searched: int = 0
    runs: int = 0
    shed: int = 0
    refused_draining: int = 0
    late: int = 0
    cancelled: int = 0
    waited: int = 0
    most_waiting: int = 0
    busy_ms: float = 0.0
