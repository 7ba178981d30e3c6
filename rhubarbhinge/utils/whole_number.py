"""Whole numbers out of texts from outside."""


def whole_number(text: str, most_digits: int) -> int | None:
    """Read a number of decimal digits.

    ``str.isdigit`` alone lets superscripts pass, which ``int`` refuses with an error, as it does
    some thousand digits.

    :param text: the text.
    :param most_digits: longest number that is read.
    :returns: the number; None when the text is none, or too long.
    """
    is_number = text.isascii() and text.isdigit() and len(text) <= most_digits
    return int(text) if is_number else None
