"""What is no longer published and may come back."""

from collections.abc import Callable

from rhubarbhinge.timing import TimerService


class LapsedNames:
    """Names of what is no longer published and may come back, each until a time of its own.

    :param timers: the timer service.
    :param on_gone: told each name whose time is over.
    """

    def __init__(self, timers: TimerService, on_gone: Callable[[str], None]):
        self._timers = timers
        self._on_gone = on_gone
        self._until_ms: dict[str, float] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._until_ms

    def keep(self, name: str, period_ms: float) -> None:
        """Keep a name for a while; one that is kept already is not kept longer.

        :param name: the name.
        :param period_ms: for how long.
        """
        until_ms = self._timers.now_ms() + max(0.0, period_ms)
        if until_ms >= self._until_ms.get(name, float("inf")):
            return
        self._until_ms[name] = until_ms
        self._timers.after(max(0.0, period_ms), lambda: self._end(name, until_ms))

    def keep_longer(self, period_ms: float) -> None:
        """Keep all that are kept for a whole period from now on.

        :param period_ms: the period.
        """
        names = list(self._until_ms)
        self._until_ms.clear()
        for name in names:
            self.keep(name, period_ms)

    def discard(self, name: str) -> None:
        """Keep a name no longer: it is published again, or gone.

        :param name: the name.
        """
        self._until_ms.pop(name, None)

    def left_ms(self) -> dict[str, float]:
        """Tell how long each is kept.

        :returns: times by name.
        """
        now_ms = self._timers.now_ms()
        return {name: max(0.0, until_ms - now_ms) for name, until_ms in self._until_ms.items()}

    def _end(self, name: str, until_ms: float) -> None:
        if self._until_ms.get(name) == until_ms:
            del self._until_ms[name]
            self._on_gone(name)
