"""Keys of the configuration and their places in a digest."""

from rhubarbhinge.wire._config_digest import ConfigDigest

REGISTER = "register"
RULES = "rules"
VMS = "vms"
KEYS = (REGISTER, RULES, VMS)


def digest_of(digest: ConfigDigest, key: str) -> tuple[int, int]:
    """Read one key's entry.

    :param digest: what a node announced.
    :param key: one of ``KEYS``.
    :returns: revision and content hash; zeros where there is none.
    """
    return getattr(digest, f"{key}_revision"), getattr(digest, f"{key}_hash")
