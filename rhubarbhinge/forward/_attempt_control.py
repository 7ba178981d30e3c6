"""What decides beside the terms of a call whether it may be sent on."""

from collections.abc import Callable
from typing import Protocol


class AttemptControl(Protocol):
    """Decides over the attempts of all calls of one request, and hears how they fare."""

    @property
    def one_first(self) -> bool:
        """Whether one searcher has to reply before the request goes to the others."""

    def claim(self, service: str, number: int, on_granted: Callable[[], None]) -> bool:
        """Claim an attempt.

        :param service: the service.
        :param number: number of the attempt at the service, counted from 1.
        :param on_granted: called once it may be sent, if it may not yet.
        :returns: whether it may be sent now.
        """

    def on_ended(self, service: str, mark: int) -> None:
        """Note that a searcher's process ended while it had the request.

        :param service: the service.
        :param mark: :attr:`rhubarbhinge.fleet.SearcherStart.mark` of the searcher.
        """

    def on_replied(self, service: str) -> None:
        """Note that a searcher executed the request and replied.

        :param service: the service.
        """

    def on_over(self, service: str) -> None:
        """Note that the call to a service has come to its end.

        :param service: the service.
        """


class Unlimited:
    """Lets every attempt through."""

    one_first = False

    def claim(self, service: str, number: int, on_granted: Callable[[], None]) -> bool:
        """Grant an attempt.

        :param service: the service.
        :param number: number of the attempt.
        :param on_granted: not called.
        :returns: that it may be sent now.
        """
        return True

    def on_ended(self, service: str, mark: int) -> None:
        """Do nothing.

        :param service: the service.
        :param mark: the searcher.
        """

    def on_replied(self, service: str) -> None:
        """Do nothing.

        :param service: the service.
        """

    def on_over(self, service: str) -> None:
        """Do nothing.

        :param service: the service.
        """


UNLIMITED = Unlimited()
"""Lets every attempt through, for calls over which their terms alone decide."""
