"""Sending the response to a request."""

from collections.abc import Callable

from rhubarbhinge.web._response import Response


class Responder:
    """Sends the response to one request, possibly after the request handler has returned.

    :param send: sends the response.
    """

    __slots__ = ("_send", "_answered", "_abandoned", "_callback")

    def __init__(self, send: Callable[[Response], None]):
        self._send = send
        self._answered = False
        self._abandoned = False
        self._callback: Callable[[], None] | None = None

    @property
    def abandoned(self) -> bool:
        """Whether the client closed the connection before the response was sent."""
        return self._abandoned

    def answer(self, response: Response) -> None:
        """Send the response; it is discarded if the client has closed the connection.

        :param response: the response.
        :raises RuntimeError: if a response has been sent already.
        """
        if self._answered:
            raise RuntimeError("the request has already been answered")
        self._answered = True
        if not self._abandoned:
            self._send(response)

    def on_abandoned(self, callback: Callable[[], None]) -> None:
        """Register a callback for the client closing the connection before the response was sent.

        :param callback: called without arguments, at most once.
        """
        self._callback = callback

    def abandon(self) -> None:
        """Record that the client closed the connection; called by the server."""
        if self._answered or self._abandoned:
            return
        self._abandoned = True
        if self._callback is not None:
            self._callback()
