"""Types of fields that come from outside, with the bounds that later code relies on.

They say what a strict decoder checks (:mod:`rhubarbhinge.utils.strict_json`); code of this process
that makes a value itself is trusted.
"""

from typing import Annotated

from msgspec import Meta

MOST_NAME_CHARS = 200
"""Longest name of a VM, service, failure domain or searcher; names of hosts have at most 253."""
MOST_COUNT = (1 << 53) - 1
"""Greatest whole number that every JSON reader keeps exactly."""
MOST_MS = 1e12
"""Longest time, some 30 years; sums of such times keep the fraction of a millisecond."""
MOST_CAPACITY = 1_000_000
"""Most requests that one searcher executes at a time; far above what one process can."""
MOST_RATE = 1e9
"""Most requests a second; far above what one process can."""
_OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"

Name = Annotated[str, Meta(min_length=1, max_length=MOST_NAME_CHARS)]
HeaderName = Annotated[str, Meta(pattern=r"\A[!-~](?:[ -~]{0,198}[!-~])?\Z")]
"""A name that is sent as the value of a header: printable ASCII, so that it can't end the line."""
FieldValue = Annotated[
    str, Meta(pattern="\\A[!-~\x80-\xff](?:[\\t -~\x80-\xff]*[!-~\x80-\xff])?\\Z")
]
"""The value of a header (RFC 9110, 5.5), which can't end its line."""
Count = Annotated[int, Meta(ge=0, le=MOST_COUNT)]
Rank = Annotated[int, Meta(ge=-MOST_COUNT, le=MOST_COUNT)]
Capacity = Annotated[int, Meta(ge=1, le=MOST_CAPACITY)]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Ipv4 = Annotated[str, Meta(pattern=rf"\A(?:{_OCTET}\.){{3}}{_OCTET}\Z")]
"""Never a host name, which would be looked up while everything else waits."""
Milliseconds = Annotated[float, Meta(ge=0, le=MOST_MS)]
AgeMs = Annotated[float, Meta(ge=-1, le=MOST_MS)]
"""An age; -1 for what never was."""
Rate = Annotated[float, Meta(ge=0, le=MOST_RATE)]
Share = Annotated[float, Meta(ge=0, le=1)]
