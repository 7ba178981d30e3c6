"""How long ago other failure domains were heard from."""

from collections.abc import Mapping


class DomainHearing:
    """How long ago other failure domains were heard from, by anyone in the own one.

    :param own: the own failure domain, which is always heard.
    """

    def __init__(self, own: str):
        self._own = own
        self._heard_ms: dict[str, float] = {}

    def hear(self, failure_domain: str, now_ms: float) -> None:
        """Note that an entry there was heard.

        :param failure_domain: the failure domain.
        :param now_ms: the time.
        """
        if failure_domain != self._own:
            self._heard_ms[failure_domain] = now_ms

    def know(self, failure_domain: str, now_ms: float) -> None:
        """Note a failure domain that was not known before; it counts as heard just now.

        :param failure_domain: the failure domain.
        :param now_ms: the time.
        """
        if failure_domain != self._own:
            self._heard_ms.setdefault(failure_domain, now_ms)

    def hear_of(self, ages_ms: Mapping[str, float], now_ms: float) -> None:
        """Take what another entry of the own domain tells.

        :param ages_ms: how long ago domains were heard, as far as it knows.
        :param now_ms: the time.
        """
        for domain, age_ms in ages_ms.items():
            if domain != self._own:
                known_ms = self._heard_ms.get(domain, float("-inf"))
                self._heard_ms[domain] = max(known_ms, now_ms - age_ms)

    def is_heard(self, failure_domain: str, within_ms: float, now_ms: float) -> bool:
        """Tell whether a failure domain was heard lately.

        :param failure_domain: the failure domain.
        :param within_ms: how lately.
        :param now_ms: the time.
        :returns: whether it was; always for the own one.
        """
        if failure_domain == self._own:
            return True
        return now_ms - self._heard_ms.get(failure_domain, float("-inf")) <= within_ms

    def ages_ms(self, now_ms: float) -> dict[str, float]:
        """Tell how long ago other failure domains were heard from.

        :param now_ms: the time.
        :returns: times by failure domain.
        """
        return {domain: now_ms - heard_ms for domain, heard_ms in self._heard_ms.items()}
