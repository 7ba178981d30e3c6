"""Addresses as the settings write them."""


def endpoint(text: str) -> tuple[str, int]:
    """Split an address that the settings have checked.

    :param text: ``ip:port``.
    :returns: the IP address and the port.
    """
    ip, _, port = text.rpartition(":")
    return ip, int(port)
