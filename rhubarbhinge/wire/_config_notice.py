"""Notice of newly accepted configuration (peer link)."""

from dataclasses import dataclass

from rhubarbhinge.wire._config_digest import ConfigDigest


@dataclass(frozen=True, slots=True)
class ConfigNotice:
    """Tell a peer what the sender has accepted, so that it may pull it.

    :param revisions: the sender's accepted configuration.
    :param answer: true if the receiver is to answer with its own notice.
    """

    revisions: ConfigDigest
    answer: bool = False
