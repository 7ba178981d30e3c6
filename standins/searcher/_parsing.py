"""Reading requests from JSON; a malformed one raises :class:`standins.http.MalformedError`."""

import orjson

from standins.http import reads
from standins.searcher._requests import RunRequest, SearchRequest


@reads
def search_request(body: bytes) -> SearchRequest:
    """Read the body of ``POST /search``.

    :param body: The body.
    :returns: The search.
    """
    document = orjson.loads(body)
    return SearchRequest(
        call=document["call"],
        collection=document["collection"],
        version=int(document["version"]),
        lo=int(document["lo"]),
        hi=int(document["hi"]),
        text=document["text"],
        limit=int(document["limit"]),
        deadline_ms=float(document["deadline_ms"]),
    )


@reads
def run_request(body: bytes) -> RunRequest:
    """Read the body of ``POST /run``.

    :param body: The body.
    :returns: The action.
    """
    document = orjson.loads(body)
    return RunRequest(
        ticket=document["ticket"],
        action=document["action"],
        body=document["body"],
        deadline_ms=float(document["deadline_ms"]),
    )


@reads
def cancelled_call(body: bytes) -> str:
    """Read the body of ``POST /cancel``.

    :param body: The body.
    :returns: The call's identity.
    """
    return orjson.loads(body)["call"]
