"""Reading requests from JSON; a malformed one raises KeyError, TypeError or ValueError."""

import orjson

from standins.searcher._requests import RunRequest, SearchRequest

MALFORMED = (KeyError, TypeError, ValueError, AttributeError)
"""What reading a malformed request raises."""


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
