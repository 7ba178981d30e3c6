"""One HTTP call by the standard library: no proxy, no redirect, bounded size and time."""

import http.client
import json
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

MOST_ANSWER_BYTES = 16 * 1024 * 1024
"""Largest answer that is read."""

_CHUNK_BYTES = 65_536
_SECOND_MS = 1_000


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """An answer that arrived whole.

    :param status: HTTP status code.
    :param document: The JSON body; ``None`` if it isn't JSON.
    :param location: The ``Location`` header, or an empty text.
    """

    status: int
    document: Any = None
    location: str = ""

    def objects(self) -> dict[str, Any]:
        """Give the body if it is an object.

        :returns: The object, else an empty one.
        """
        return self.document if isinstance(self.document, dict) else {}


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call that got no whole answer.

    :param message: What went wrong.
    :param sent: Whether any of the request may have reached the other side.
    """

    message: str
    sent: bool


@dataclass(frozen=True, slots=True)
class HttpCall:
    """A call to make.

    :param method: HTTP method.
    :param url: The URL.
    :param timeout_ms: Longest time for the answer, in milliseconds.
    :param body: JSON value to send, if any.
    :param headers: Further headers.
    """

    method: str
    url: str
    timeout_ms: int
    body: Any = None
    headers: Mapping[str, str] = field(default_factory=dict)


Caller = Callable[[HttpCall], HttpAnswer | CallFailed]
"""Makes a call; tests put their own in its place."""


class _KeepRedirects(urllib.request.HTTPRedirectHandler):
    """Leave redirects to the caller, who has to know what they mean."""

    def redirect_request(self, *args: Any, **kwargs: Any) -> None:
        """Follow none."""
        return None


def call_http(call: HttpCall) -> HttpAnswer | CallFailed:
    """Make one call, once.

    :param call: The call.
    :returns: The answer, or why there is none.
    """
    ends_s = time.monotonic() + call.timeout_ms / _SECOND_MS
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}), _KeepRedirects)
    try:
        return _answer(opener, _request(call), call.timeout_ms / _SECOND_MS, ends_s)
    except urllib.error.URLError as error:
        reason = error.reason
        return CallFailed(
            f"can't call: {reason}", sent=not isinstance(reason, ConnectionRefusedError)
        )
    except (OSError, http.client.HTTPException) as error:
        return CallFailed(f"no whole answer: {error or type(error).__name__}", sent=True)


def _request(call: HttpCall) -> urllib.request.Request:
    headers = {"Accept": "application/json", **call.headers}
    data = None
    if call.body is not None:
        data = json.dumps(call.body).encode()
        headers["Content-Type"] = "application/json"
    return urllib.request.Request(call.url, data, headers, method=call.method)


def _answer(
    opener: urllib.request.OpenerDirector,
    request: urllib.request.Request,
    timeout_s: float,
    ends_s: float,
) -> HttpAnswer:
    try:
        response = opener.open(request, timeout=timeout_s)
    except urllib.error.HTTPError as error:
        response = error
    with response:
        data = _read(response, ends_s)
        location = response.headers.get("Location", "")
        return HttpAnswer(response.status, _document(data), location)


def _read(response: Any, ends_s: float) -> bytes:
    """Read the body; one cut short is an error, which `read1` doesn't tell."""
    expected = _content_length(response)
    data = bytearray()
    while len(data) != expected and (chunk := response.read1(_CHUNK_BYTES)):
        data += chunk
        if len(data) > MOST_ANSWER_BYTES:
            raise OSError("the answer is too large")
        if time.monotonic() > ends_s:
            raise TimeoutError("timed out")
    if expected is not None and len(data) != expected:
        raise http.client.IncompleteRead(bytes(data), expected - len(data))
    return bytes(data)


def _content_length(response: Any) -> int | None:
    text = response.headers.get("Content-Length", "")
    return int(text) if text.isascii() and text.isdigit() and len(text) < 16 else None


def _document(data: bytes) -> Any:
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        return None
