"""The handle that a request is answered by."""

from collections.abc import Callable

from rhubarbhinge.web._response import Response


class Responder:
    """Answers one request, at any later time.

    :param send: sends the answer.
    """

    __slots__ = ("_send", "_answered", "_abandoned", "_callback")

    def __init__(self, send: Callable[[Response], None]):
        self._send = send
        self._answered = False
        self._abandoned = False
        self._callback: Callable[[], None] | None = None

    @property
    def abandoned(self) -> bool:
        """Whether the caller's connection went before the answer."""
        return self._abandoned

    def answer(self, response: Response) -> None:
        """Answer the request; the answer is dropped when the caller has gone.

        :param response: the answer.
        :raises RuntimeError: when the request has been answered before.
        """
        if self._answered:
            raise RuntimeError("a request is answered once")
        self._answered = True
        if not self._abandoned:
            self._send(response)

    def on_abandoned(self, callback: Callable[[], None]) -> None:
        """Ask to be told when the caller's connection goes before the answer.

        :param callback: called without arguments, at most once.
        """
        self._callback = callback

    def abandon(self) -> None:
        """Note that the caller's connection has gone; the server calls this."""
        if self._answered or self._abandoned:
            return
        self._abandoned = True
        if self._callback is not None:
            self._callback()
