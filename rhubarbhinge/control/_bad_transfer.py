"""Error of a document transfer."""


class BadTransfer(ValueError):
    """The bytes of a transfer do not decode to a document."""

    code = "bad-transfer"
