"""Hypothesis strategies for invalid external data."""

import copy
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st

FUZZ_SETTINGS = settings(derandomize=True, deadline=None, database=None, max_examples=300)
"""Settings that draw the same examples in each run; 300 take under a second for a decoder."""

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
"""Any JSON value."""
EDGE_CASE_VALUES = JSON_VALUES | st.sampled_from(
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
"""JSON values that parsers often misinterpret."""


@st.composite
def mutated_json(draw: st.DrawFn, good: Any) -> Any:
    """Draw a JSON value with one of its fields replaced or removed.

    :param draw: provided by hypothesis.
    :param good: a valid value.
    :returns: the mutated copy.
    """
    value = copy.deepcopy(good)
    container, key = draw(st.sampled_from(list(_locations(value))))
    if draw(st.booleans()):
        container[key] = draw(EDGE_CASE_VALUES)
    else:
        del container[key]
    return value


def _locations(value: Any):
    """Yield the container and the key or index of each nested field."""
    pairs = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in pairs:
        yield value, key
        if isinstance(inner, dict | list):
            yield from _locations(inner)
