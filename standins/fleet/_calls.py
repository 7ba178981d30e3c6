"""Calls to the control endpoints of stand-ins."""

import urllib.error
import urllib.request

import orjson

from standins.fleet._waiting import STOP_WAIT_S


def call(
    port: int, path: str, document: object = None, wait_s: float = STOP_WAIT_S
) -> dict[str, object]:
    """Call a control endpoint of a stand-in.

    :param port: The stand-in's port.
    :param path: The path with its query.
    :param document: What to send as JSON; None for a GET.
    :param wait_s: How long to wait for the answer, in seconds.
    :returns: The answer, read from JSON.
    :raises urllib.error.HTTPError: For a status other than 2xx.
    """
    body = None if document is None else orjson.dumps(document)
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data=body)
    with urllib.request.urlopen(request, timeout=wait_s) as answer:
        return orjson.loads(answer.read() or b"null")


def answers(port: int, path: str, wait_s: float = 1.0) -> bool:
    """Say whether a path is answered with success, such as ``/readyz`` of a node.

    :param port: The port.
    :param path: The path.
    :param wait_s: How long to wait for the answer, in seconds.
    :returns: False for another status, and without an answer.
    """
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", timeout=wait_s) as answer:
            return answer.status < 300
    except urllib.error.HTTPError as refused:
        refused.close()
        return False
    except OSError:
        return False
