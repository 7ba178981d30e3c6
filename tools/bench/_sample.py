"""What the load generator notes of one request."""

from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass
from pathlib import Path

import orjson


@dataclass(frozen=True, slots=True)
class Sample:
    """One request and what came of it.

    :param class_name: its traffic class.
    :param collection: the collection searched.
    :param entry: place of the entry in the list that is asked in turn.
    :param at_ms: intended arrival, from the start of the measured time; negative while warming up.
    :param lag_ms: from the intended arrival until the request was written.
    :param latency_ms: from the intended arrival until the whole answer was read.
    :param status: HTTP status; 0 without an answer.
    :param code: the answer's error code, ``transport`` or ``timeout`` without one, else empty.
    :param coverage: fraction of the records covered, as the answer states; 0 without a statement.
    :param not_run: whether the answer says that nothing was run.
    :param retry_after_ms: when to come back, as the answer says.
    """

    class_name: str
    collection: str
    entry: int
    at_ms: float
    lag_ms: float
    latency_ms: float
    status: int
    code: str
    coverage: float
    not_run: bool
    retry_after_ms: float | None

    @property
    def is_refusal(self) -> bool:
        """Whether the request was refused without being run."""
        return self.status != 200 and self.not_run

    @property
    def answer_ms(self) -> float:
        """Time from the written request until its answer, in ms."""
        return self.latency_ms - self.lag_ms


def write_samples(path: Path, samples: Iterable[Sample]) -> None:
    """Write samples as JSON Lines.

    :param path: the file.
    :param samples: the samples.
    """
    with open(path, "wb") as file:
        for sample in samples:
            file.write(orjson.dumps(asdict(sample), option=orjson.OPT_APPEND_NEWLINE))


def read_samples(path: Path) -> Iterator[Sample]:
    """Read samples.

    :param path: the file.
    :returns: the samples.
    """
    with open(path, "rb") as file:
        for line in file:
            yield Sample(**orjson.loads(line))
