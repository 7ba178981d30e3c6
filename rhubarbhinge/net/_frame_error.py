"""The error raised for invalid data received from another node."""


class FrameError(Exception):
    """Raised for data that is not a valid frame or message; the receiver closes the link.

    :param code: ``malformed``, ``oversized``, ``unsigned`` or ``wrong-receiver``.
    :param message: one sentence for operators.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
