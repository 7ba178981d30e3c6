"""Nesting depth of parsed JSON."""


def is_nesting_within(value: object, max_depth: int) -> bool:
    """Return whether the nesting of lists and objects is within a limit.

    :param value: parsed JSON.
    :param max_depth: maximum number of nested levels of lists and objects.
    :returns: whether the limit is respected.
    """
    if not isinstance(value, dict | list):
        return True
    children = value.values() if isinstance(value, dict) else value
    return max_depth > 0 and all(is_nesting_within(child, max_depth - 1) for child in children)
