"""Calls the platform's HTTP interface for documents."""

from collections.abc import Callable, Sequence

from rhubarbhinge.control import PlatformOutcome, PollPlatform
from rhubarbhinge.daemons._endpoint import endpoint
from rhubarbhinge.daemons._platformanswer import PlatformAnswer, platform_answer
from rhubarbhinge.web import Failure, HttpClient, Reply

#: Kept on top of the time that a watch may wait at the platform.
_CALL_MARGIN_MS = 2_000.0
_TRY_ANOTHER = (PlatformOutcome.FAILED, PlatformOutcome.OVERLOADED)


class PlatformCalls:
    """Polls one address of the platform until it fails or is overloaded, then the next.

    :param client: makes the calls.
    :param reader: this node, named in the ``Reader`` header.
    :param addresses: ``ip:port`` texts of the settings; without any, nothing is called.
    :param on_answer: told the key and the answer of each call.
    """

    def __init__(
        self,
        client: HttpClient,
        reader: str,
        addresses: Sequence[str],
        on_answer: Callable[[str, PlatformAnswer], None],
    ) -> None:
        self._client = client
        self._reader = reader
        self._addresses = addresses
        self._on_answer = on_answer
        self._turn = 0

    def poll(self, effect: PollPlatform) -> None:
        """Ask for a document once.

        :param effect: the document, the revision at hand, and how long the platform may wait.
        """
        if not self._addresses:
            return
        ip, port = endpoint(self._addresses[self._turn % len(self._addresses)])
        path = f"/v1/config/{effect.key}?after={effect.after_revision}&wait_ms={effect.wait_ms}"
        self._client.call(
            ip,
            port,
            "GET",
            path,
            headers=(("Reader", self._reader),),
            timeout_ms=effect.wait_ms + _CALL_MARGIN_MS,
            on_done=lambda result: self._polled(effect.key, result),
        )

    def _polled(self, key: str, result: Reply | Failure) -> None:
        answer = platform_answer(result)
        if answer.outcome in _TRY_ANOTHER:
            self._turn += 1
        self._on_answer(key, answer)
