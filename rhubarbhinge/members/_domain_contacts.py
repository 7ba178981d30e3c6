"""Times of the last contact with other failure domains."""

import heapq
from collections.abc import Mapping


class DomainContacts:
    """Times of the last contact of any entry in the local failure domain with the other domains.

    :param own: the local failure domain, which always counts as reachable.
    """

    def __init__(self, own: str):
        self._own = own
        self._last_contact_ms: dict[str, float] = {}

    def record(self, failure_domain: str, now_ms: float) -> None:
        """Record a message from an entry of a failure domain.

        :param failure_domain: the failure domain.
        :param now_ms: the current time.
        """
        if failure_domain != self._own:
            self._last_contact_ms[failure_domain] = now_ms

    def add(self, failure_domain: str, now_ms: float) -> None:
        """Add a failure domain if it is new; it counts as contacted at this time.

        :param failure_domain: the failure domain.
        :param now_ms: the current time.
        """
        if failure_domain != self._own:
            self._last_contact_ms.setdefault(failure_domain, now_ms)

    def merge_ages(self, ages_ms: Mapping[str, float], now_ms: float) -> None:
        """Merge the contact ages that another entry of the local failure domain reports.

        :param ages_ms: time since the last contact, by failure domain.
        :param now_ms: the current time.
        """
        for domain, age_ms in ages_ms.items():
            if domain != self._own:
                last_ms = self._last_contact_ms.get(domain, float("-inf"))
                self._last_contact_ms[domain] = max(last_ms, now_ms - age_ms)

    def is_recent(self, failure_domain: str, within_ms: float, now_ms: float) -> bool:
        """Tell whether the last contact with a failure domain is recent.

        :param failure_domain: the failure domain.
        :param within_ms: greatest age of a recent contact.
        :param now_ms: the current time.
        :returns: whether it is recent; always True for the local domain.
        """
        if failure_domain == self._own:
            return True
        return now_ms - self._last_contact_ms.get(failure_domain, float("-inf")) <= within_ms

    def ages_ms(self, now_ms: float, most: int) -> dict[str, float]:
        """Return the time since the last contact with the other failure domains.

        :param now_ms: the current time.
        :param most: maximum number of failure domains; those with the latest contacts are returned.
        :returns: ages by failure domain.
        """
        contacts = self._last_contact_ms.items()
        if len(contacts) > most:
            contacts = heapq.nlargest(most, contacts, key=lambda contact: contact[1])
        return {domain: now_ms - contact_ms for domain, contact_ms in contacts}
