"""Signs and checks the hello of a link, and the datagrams between nodes."""

import hashlib
import hmac

from rhubarbhinge.net._frame_error import FrameError
from rhubarbhinge.wire._hello import Hello

#: Bytes of the code in front of a datagram: half of SHA-256, still 128 bits.
DATAGRAM_MAC_BYTES = 16
#: Random bytes in a hello.
NONCE_BYTES = 16


def signed_hello(key: bytes, hello: Hello) -> Hello:
    """Sign a hello.

    :param key: the deployment key.
    :param hello: the hello; its ``mac`` is not looked at.
    :returns: the same hello with its ``mac``.
    """
    return Hello(
        hello.name,
        hello.role,
        hello.failure_domain,
        hello.incarnation,
        hello.nonce,
        hello.answers_nonce,
        _hello_mac(key, hello),
    )


def check_hello(key: bytes, hello: Hello) -> None:
    """Check a hello's signature.

    :param key: the deployment key.
    :param hello: as it came.
    :raises FrameError: with code ``unsigned``.
    """
    if not hmac.compare_digest(_hello_mac(key, hello), hello.mac):
        raise FrameError("unsigned", "the hello is not signed by this deployment's key")


def sign_datagram(key: bytes, data: bytes) -> bytes:
    """Put a code in front of a datagram.

    :param key: the deployment key.
    :param data: an encoded message.
    :returns: the datagram.
    """
    return _datagram_mac(key, data) + data


def open_datagram(key: bytes, datagram: bytes) -> bytes:
    """Check a datagram's code.

    :param key: the deployment key.
    :param datagram: as it came, from anyone.
    :returns: the encoded message within.
    :raises FrameError: with code ``unsigned``.
    """
    data = datagram[DATAGRAM_MAC_BYTES:]
    if not hmac.compare_digest(_datagram_mac(key, data), datagram[:DATAGRAM_MAC_BYTES]):
        raise FrameError("unsigned", "the datagram is not signed by this deployment's key")
    return data


def _datagram_mac(key: bytes, data: bytes) -> bytes:
    return hmac.digest(key, data, hashlib.sha256)[:DATAGRAM_MAC_BYTES]


def _hello_mac(key: bytes, hello: Hello) -> bytes:
    fields = (
        hello.name.encode(),
        hello.role.encode(),
        hello.failure_domain.encode(),
        str(hello.incarnation).encode(),
        hello.nonce,
        hello.answers_nonce,
    )
    signed = b"".join(len(field).to_bytes(2, "little") + field for field in fields)
    return hmac.digest(key, signed, hashlib.sha256)
