"""What is wrong with bytes from another node."""


class FrameError(Exception):
    """Bytes that are no frame or no message; costs the link that carried them.

    :param code: ``malformed``, ``oversized``, ``unsigned`` or ``wrong-receiver``.
    :param message: one sentence.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
