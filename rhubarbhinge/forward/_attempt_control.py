"""Policy that decides whether further attempts of a call may be sent."""

from collections.abc import Callable
from typing import Protocol


class AttemptControl(Protocol):
    """Authorizes the attempts of all calls that belong to one request, and is notified of their
    outcomes."""

    @property
    def one_first(self) -> bool:
        """Whether one searcher has to reply before the request is sent to the others."""

    def claim(self, service: str, number: int, on_granted: Callable[[], None]) -> bool:
        """Request permission to send an attempt.

        :param service: name of the service.
        :param number: 1-based number of the attempt at this service.
        :param on_granted: called when permission is granted later; only used when this returns
            False.
        :returns: True if the attempt may be sent immediately.
        """

    def on_searcher_exited(self, service: str, mark: int) -> None:
        """Record that a searcher's process exited while it was handling the request.

        :param service: name of the service.
        :param mark: :attr:`rhubarbhinge.fleet.SearcherStart.mark` of the searcher.
        """

    def on_replied(self, service: str) -> None:
        """Record that a searcher executed the request and replied.

        :param service: name of the service.
        """

    def on_call_finished(self, service: str) -> None:
        """Record that the call to a service has finished.

        :param service: name of the service.
        """


class Unlimited:
    """Allows every attempt."""

    one_first = False

    def claim(self, service: str, number: int, on_granted: Callable[[], None]) -> bool:
        """Allow an attempt.

        :param service: name of the service.
        :param number: 1-based number of the attempt.
        :param on_granted: never called.
        :returns: always True.
        """
        return True

    def on_searcher_exited(self, service: str, mark: int) -> None:
        """Do nothing.

        :param service: name of the service.
        :param mark: identifies the searcher's start.
        """

    def on_replied(self, service: str) -> None:
        """Do nothing.

        :param service: name of the service.
        """

    def on_call_finished(self, service: str) -> None:
        """Do nothing.

        :param service: name of the service.
        """


UNLIMITED = Unlimited()
"""Allows every attempt; for calls that are limited only by their own terms."""
