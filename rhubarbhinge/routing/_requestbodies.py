"""JSON bodies of requests to searchers, in parts that are made once where they can be."""

import orjson

from rhubarbhinge.wire import SubBatch


def search_head(batch: SubBatch) -> bytes | None:
    """Make what the bodies of a batch have in common, up to the deadline.

    :param batch: the batch.
    :returns: the bytes, or None when the text is no valid Unicode.
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
    """Make the body of a run, without its deadline.

    :param ticket: its ticket.
    :param action: what to run.
    :param body: the caller's JSON.
    :returns: what goes before and after the deadline, or None when the body is no JSON object.
    """
    try:
        is_object = isinstance(orjson.loads(body), dict)
        head = orjson.dumps({"ticket": ticket, "action": action})
    except ValueError:
        return None
    if not is_object:
        return None
    return head[:-1] + b',"deadline_ms":', b',"body":' + body + b"}"
