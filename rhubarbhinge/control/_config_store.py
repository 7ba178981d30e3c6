"""The accepted configuration of one node."""

from collections import OrderedDict
from collections.abc import Callable

from rhubarbhinge.control._adopted import Adopted
from rhubarbhinge.control._config_age import ConfigAge
from rhubarbhinge.control._config_keys import KEYS
from rhubarbhinge.control._content_hash import content_hash
from rhubarbhinge.control._document import Document
from rhubarbhinge.control._offer_ignored import Ignored
from rhubarbhinge.control._refused import Refused
from rhubarbhinge.wire._config_digest import ConfigDigest

PLATFORM = "platform"
REFUSALS_KEPT = 64
TWICE_PUBLISHED = (
    "revision {revision} of {key} was published twice with different content; "
    "all nodes keep the content with the higher hash: publish a higher revision"
)

Validate = Callable[[str, bytes], tuple[bool, tuple[str, ...]]]


class ConfigStore:
    """Holds the last accepted document of each key; what is accepted never falls.

    Documents are ordered by revision, then by content hash. So two documents that were published
    under one revision have one winner, the same on all nodes whatever the order in which they come,
    and a node changes to it at most once.

    :param validate: pure check of ``(key, data)`` giving whether it is accepted, and the faults.
    """

    def __init__(self, validate: Validate) -> None:
        self._validate = validate
        self._accepted: dict[str, Document] = {}
        self._refused: OrderedDict[tuple[str, int, int], Refused] = OrderedDict()
        self._last_refused: dict[str, Refused] = {}
        self._passed: dict[str, int] = dict.fromkeys(KEYS, 0)

    def accepted(self, key: str) -> Document | None:
        """Give the document in force.

        :param key: one of ``KEYS``.
        :returns: the document, or nothing before the first was accepted.
        """
        return self._accepted.get(key)

    def position(self, key: str) -> tuple[int, int]:
        """Give the place of the document in force in the order of documents.

        :param key: one of ``KEYS``.
        :returns: revision and content hash, zeros before the first.
        """
        document = self._accepted.get(key)
        return (document.revision, document.digest) if document else (0, 0)

    def passed_revision(self, key: str) -> int:
        """Give the revision above which the platform has to be watched.

        :param key: one of ``KEYS``.
        :returns: the highest revision accepted, or refused when the platform itself gave it.
        """
        return max(self.position(key)[0], self._passed[key])

    def wants(self, key: str, revision: int, digest: int) -> bool:
        """Tell whether a document is worth fetching.

        :param key: one of ``KEYS``.
        :param revision: its revision.
        :param digest: its content hash; 0 if not known.
        :returns: true if it is above what is accepted and was not refused before.
        """
        if self._was_refused(key, revision, digest):
            return False
        return (revision, digest) > self.position(key) and revision > 0

    def digest(self, platform_contact: int, platform_age_ms: int) -> ConfigDigest:
        """Summarize what is accepted.

        :param platform_contact: identifies the newest known answer of the platform; 0 for none.
        :param platform_age_ms: time since that answer.
        :returns: revisions and content hashes of all keys.
        """
        positions = [self.position(key) for key in KEYS]
        revisions = [revision for revision, _ in positions]
        hashes = [digest for _, digest in positions]
        return ConfigDigest(*revisions, *hashes, platform_contact, platform_age_ms)

    def offer(
        self, key: str, revision: int, data: bytes, source: str, now_ms: int
    ) -> Adopted | Refused | Ignored:
        """Consider a document from the platform or a peer.

        :param key: one of ``KEYS``.
        :param revision: its revision.
        :param data: its bytes.
        :param source: ``PLATFORM`` or the peer's name.
        :param now_ms: the time.
        :returns: adopted if it is valid and above what is accepted; refused, the first time, if it
            is invalid or lost against another document of its revision; else ignored.
        """
        digest = content_hash(data)
        known = self._refused.get((key, revision, digest))
        if known is not None:
            self._note_passed(known, source)
            return Ignored(key, revision)
        held = self._accepted.get(key)
        if held is not None and (revision, digest) <= (held.revision, held.digest):
            return self._not_above(held, revision, digest)
        accepted, faults = self._validate(key, data)
        if not accepted or revision < 1:
            return self._refuse(key, revision, digest, faults, source)
        document = Document(key, revision, digest, data, now_ms)
        self._accepted[key] = document
        twice = held is not None and held.revision == revision
        return Adopted(document, (_twice(key, revision),) if twice else ())

    def ages(self, platform_age_ms: int, now_ms: int) -> tuple[ConfigAge, ...]:
        """Report how old the configuration is.

        :param platform_age_ms: time since the platform answered a node in reach; -1 for never.
        :param now_ms: the time.
        :returns: one line a key.
        """
        return tuple(self._age(key, platform_age_ms, now_ms) for key in KEYS)

    def _was_refused(self, key: str, revision: int, digest: int) -> bool:
        if digest:
            return (key, revision, digest) in self._refused
        return any(known[:2] == (key, revision) for known in self._refused)

    def _age(self, key: str, platform_age_ms: int, now_ms: int) -> ConfigAge:
        document = self._accepted.get(key)
        revision = document.revision if document else 0
        in_force_ms = now_ms - document.adopted_ms if document else 0
        return ConfigAge(key, revision, in_force_ms, platform_age_ms, self._last_refused.get(key))

    def _not_above(self, held: Document, revision: int, digest: int) -> Refused | Ignored:
        if revision != held.revision or digest == held.digest:
            return Ignored(held.key, revision)
        faults = (_twice(held.key, revision),)
        return self._refuse(held.key, revision, digest, faults, "")

    def _refuse(
        self, key: str, revision: int, digest: int, faults: tuple[str, ...], source: str
    ) -> Refused:
        refused = Refused(key, revision, faults)
        self._refused[key, revision, digest] = refused
        if len(self._refused) > REFUSALS_KEPT:
            self._refused.popitem(last=False)
        self._last_refused[key] = refused
        self._note_passed(refused, source)
        return refused

    def _note_passed(self, refused: Refused, source: str) -> None:
        if source == PLATFORM:
            self._passed[refused.key] = max(self._passed[refused.key], refused.revision)


def _twice(key: str, revision: int) -> str:
    return TWICE_PUBLISHED.format(key=key, revision=revision)
