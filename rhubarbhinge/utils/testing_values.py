"""Strategies of hypothesis for what may come from outside in place of a good value."""

import copy
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st

FUZZ = settings(derandomize=True, deadline=None, database=None, max_examples=300)
"""Each run draws the same examples; 300 take under a second for a decoder."""

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
"""Any JSON."""
ODD_VALUES = JSON_VALUES | st.sampled_from(
    [
        -1,
        0,
        1 << 53,
        1 << 64,
        10**30,
        -(10**30),
        1e308,
        0.5,
        "",
        "x" * 5_000,
        "9" * 5_000,
        "a\r\nb: c",
        "\u0130\u2028",
        [],
        {},
        [[]],
        True,
    ]
)
"""Values that are often taken for something else."""


@st.composite
def mutated(draw: st.DrawFn, good: Any) -> Any:
    """Draw a good JSON value with one of its fields replaced or taken away.

    :param draw: given by hypothesis.
    :param good: a good value.
    :returns: the value with its fault.
    """
    value = copy.deepcopy(good)
    holder, key = draw(st.sampled_from(list(_places(value))))
    if draw(st.booleans()):
        holder[key] = draw(ODD_VALUES)
    else:
        del holder[key]
    return value


def _places(value: Any):
    """Give each field of a value, as what holds it and its key or place there."""
    pairs = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in pairs:
        yield value, key
        if isinstance(inner, dict | list):
            yield from _places(inner)
