"""What came of one request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Sample:
    """What came of one request.

    :param class_name: its kind.
    :param took_ms: time from when it was due to the whole answer.
    :param status: the answer's status; 0 when there was none.
    :param missing: shards that the answer left out.
    """

    class_name: str
    took_ms: float
    status: int
    missing: int

    @property
    def ok(self) -> bool:
        """Whether it was answered with a success."""
        return 200 <= self.status < 300
