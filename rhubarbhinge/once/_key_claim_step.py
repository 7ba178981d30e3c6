"""Steps of claiming an idempotency key."""

from enum import IntEnum


class KeyClaimStep(IntEnum):
    """What a claim asks of an owner of a key; the value is sent in the message."""

    ORDER = 0
    """Asks the first owner to bind the key, or to return the ticket that it is bound to."""
    COPY = 1
    """Asks the second owner to bind the key to the ticket that the first one returned."""
    LOOKUP = 2
    """Asks the second owner for the ticket of its copy, without binding the key."""
