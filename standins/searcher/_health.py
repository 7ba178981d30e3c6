"""A health picture that lags behind the truth."""

from collections import deque
from dataclasses import dataclass

from standins.searcher._holdings import Holdings


@dataclass(frozen=True, slots=True)
class Picture:
    """What health tells about one moment.

    :param at_ms: The moment.
    :param busy: Slots in use.
    :param draining: Whether the searcher was leaving.
    :param holdings: What it held.
    """

    at_ms: float
    busy: int
    draining: bool
    holdings: Holdings


class HealthLog:
    """Keeps the pictures of as long as health lags.

    :param first: The picture at the start.
    """

    def __init__(self, first: Picture) -> None:
        self._pictures = deque([first])

    def add(self, picture: Picture, lag_ms: float) -> None:
        """Note a change.

        :param picture: The picture from now on.
        :param lag_ms: How long older ones matter.
        """
        self._pictures.append(picture)
        self._forget(picture.at_ms - lag_ms)

    def at(self, moment_ms: float) -> Picture:
        """Look back.

        :param moment_ms: The moment.
        :returns: The last picture that is not younger, or the oldest kept.
        """
        found = self._pictures[0]
        for picture in self._pictures:
            if picture.at_ms > moment_ms:
                break
            found = picture
        return found

    def _forget(self, before_ms: float) -> None:
        pictures = self._pictures
        while len(pictures) > 1 and pictures[1].at_ms <= before_ms:
            pictures.popleft()
