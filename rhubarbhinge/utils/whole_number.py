"""Parsing of whole numbers in external data."""


def parse_whole_number(text: str, max_digits: int) -> int | None:
    """Parse a number of decimal digits.

    ``str.isdigit`` alone also accepts superscripts, for which ``int`` raises an error, as it does
    for some thousand digits.

    :param text: the text.
    :param max_digits: maximum number of digits.
    :returns: the number; None if the text is not a whole number or too long.
    """
    is_valid = text.isascii() and text.isdigit() and len(text) <= max_digits
    return int(text) if is_valid else None
