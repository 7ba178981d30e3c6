"""The first message on a link between two nodes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Hello:
    """Who speaks on this link, signed by the deployment key.

    :param name: the sender's node name, ``<vm>/<role>``.
    :param role: ``entry`` or ``relay``.
    :param failure_domain: the sender's failure domain.
    :param incarnation: the sender's incarnation.
    :param nonce: random bytes that the other side's hello has to answer.
    :param answers_nonce: the other side's nonce, or empty in the opener's first hello.
    :param mac: HMAC-SHA256 over all fields before it.
    """

    name: str
    role: str
    failure_domain: str
    incarnation: int
    nonce: bytes
    answers_nonce: bytes
    mac: bytes
