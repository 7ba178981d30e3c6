"""HTTP paths for calls between entries."""

from collections.abc import Iterable

STATE_PATH = "/v1/published-state"
"""Path that returns the published state as an entry knows it."""
CHANGES_PATH = "/v1/published-changes"
"""Path of long polls, at an entry that reads the platform, for changes of the published state, or
for the confirmation that there are none."""
MEMBERS_PATH = "/v1/members"
"""Path that returns an entry's list of members."""
RETRY_LOANS_PATH = "/v1/retry-loans"
"""Path at which an entry lends retry budget to the one that asks."""


def with_query(path: str, parameters: Iterable[str]) -> str:
    """Append query parameters to a path.

    :param path: the path.
    :param parameters: names with values, percent-encoded.
    :returns: the path with its query.
    """
    query = "&".join(parameters)
    return f"{path}?{query}" if query else path
