"""Identifiers of bounded length for names of any length.

Services, routes, VMs and failure domains are identified by their published names, which may have
any length. Messages between entries contain many such names, so that each name has to be short.
"""

from hashlib import blake2b

from msgspec import json

MAX_SHORT_NAME_BYTES = 64
"""Maximum length of an identifier in JSON, without quotes. A heartbeat that contains as many names
as it may then fits into one datagram."""
DIGEST_BYTES = 16
"""Size of the digest in the identifier of a longer name; collisions need 2**64 names."""
SEPARATOR = "~"
MAX_PREFIX_CHARS = MAX_SHORT_NAME_BYTES - len(SEPARATOR) - 2 * DIGEST_BYTES
MAX_ESCAPE_BYTES = 6
"""Most bytes that a character takes in JSON."""


def short_name(name: str) -> str:
    """Return the identifier of a name, which is the same at all entries.

    :param name: the name, without lone surrogates.
    :returns: the name itself if it takes at most :data:`MAX_SHORT_NAME_BYTES` in JSON; otherwise
        its beginning and a digest. Applied to an identifier, the function returns it unchanged.
    """
    if len(name) * MAX_ESCAPE_BYTES <= MAX_SHORT_NAME_BYTES or _json_bytes(name) <= (
        MAX_SHORT_NAME_BYTES
    ):
        return name
    beginning = "".join(filter(_is_single_byte, name[:MAX_PREFIX_CHARS]))
    return beginning + SEPARATOR + blake2b(name.encode(), digest_size=DIGEST_BYTES).hexdigest()


def _json_bytes(name: str) -> int:
    return len(json.encode(name)) - len('""')


def _is_single_byte(char: str) -> bool:
    return char.isascii() and char.isprintable() and char not in '"\\'
