"""A searcher as it is published."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Searcher:
    """One incarnation of a searcher, as it is published.

    :param incarnation: identifies the searcher from its start to its end.
    :param service: name of its service.
    :param ip: its IP address, which another searcher may get later.
    :param port: its port.
    :param failure_domain: where it runs.
    :param capacity: how many requests it executes at a time.
    :param draining: whether it is about to leave.
    :param warmup_ms: how much longer it was slow after its start when this was published.
    """

    incarnation: str
    service: str
    ip: str
    port: int
    failure_domain: str
    capacity: int
    draining: bool = False
    warmup_ms: float = 0.0
