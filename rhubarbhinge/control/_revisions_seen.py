"""Effect: a member announced its configuration revisions."""

from dataclasses import dataclass

from rhubarbhinge.wire._config_digest import ConfigDigest


@dataclass(frozen=True, slots=True)
class RevisionsSeen:
    """Hand to :meth:`Dissemination.on_revisions`.

    :param member_name: who announced them.
    :param revisions: what it has accepted.
    """

    member_name: str
    revisions: ConfigDigest
