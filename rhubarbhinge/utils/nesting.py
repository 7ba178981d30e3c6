"""How deep parsed JSON is nested."""


def is_nested_below(value: object, most_depth: int) -> bool:
    """Check the nesting of lists and objects.

    :param value: parsed JSON.
    :param most_depth: how many levels of lists and objects are allowed.
    :returns: whether there are no more.
    """
    if not isinstance(value, dict | list):
        return True
    inner = value.values() if isinstance(value, dict) else value
    return most_depth > 0 and all(is_nested_below(each, most_depth - 1) for each in inner)
