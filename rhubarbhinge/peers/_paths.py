"""Paths at which entries call each other."""

from collections.abc import Iterable

STATE_PATH = "/v1/published-state"
"""Path at which an entry hands on what it knows."""
CHANGES_PATH = "/v1/published-changes"
"""Path at which an entry that reads the platform tells others what changes."""
CHANGES_WAIT_MS = 1_500.0
"""How long an entry that asks for changes waits; short, so that a reader that died is noticed well
within the seconds that a change may take to be in force."""
MEMBERS_PATH = "/v1/members"
"""Path at which an entry gives its list of entries."""


def with_query(path: str, parameters: Iterable[str]) -> str:
    """Put parameters behind a path.

    :param path: the path.
    :param parameters: names with values, percent-encoded.
    :returns: the path with its query.
    """
    query = "&".join(parameters)
    return f"{path}?{query}" if query else path
