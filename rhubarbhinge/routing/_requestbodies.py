"""JSON bodies of requests to searchers; common parts are encoded once per batch."""

import orjson

from rhubarbhinge.wire import SubBatch


def search_head(batch: SubBatch) -> bytes | None:
    """Encode the common start of a batch's request bodies, up to the deadline value.

    :param batch: the batch.
    :returns: encoded bytes, or None if the text is not valid Unicode.
    """
    common = {
        "collection": batch.collection,
        "version": batch.version,
        "text": batch.text,
        "limit": batch.limit,
    }
    try:
        return orjson.dumps(common)[:-1] + b',"deadline_ms":'
    except orjson.JSONEncodeError:
        return None


def run_parts(ticket: str, action: str, body: bytes) -> tuple[bytes, bytes] | None:
    """Encode the request body of a run, without its deadline value.

    :param ticket: its ticket.
    :param action: name of the action to run.
    :param body: JSON from the caller.
    :returns: bytes before and after the deadline value, or None if the body is not a JSON object.
    """
    try:
        is_object = isinstance(orjson.loads(body), dict)
        head = orjson.dumps({"ticket": ticket, "action": action})
    except ValueError:
        return None
    if not is_object:
        return None
    return head[:-1] + b',"deadline_ms":', b',"body":' + body + b"}"
