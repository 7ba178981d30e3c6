"""Types of external data, with the bounds that other code relies on.

The bounds are checked by strict decoders (:mod:`rhubarbhinge.utils.strict_json`). Values that this
process creates itself are not checked.
"""

from typing import Annotated

from msgspec import Meta

MAX_NAME_CHARS = 200
"""Maximum length of a name that another entry sends. Names of the store and the settings have no
maximum; :func:`rhubarbhinge.utils.short_names.short_name` reduces them to identifiers."""
MAX_COUNT = (1 << 53) - 1
"""Largest integer that every JSON parser represents exactly."""
MAX_MS = 1e12
"""Largest time, about 30 years; sums of such times keep fractions of a millisecond."""
MAX_CAPACITY = 1_000_000
"""Maximum number of concurrent requests of one searcher; far above what one process can handle."""
MAX_RATE = 1e9
"""Maximum number of requests per second; far above what one process can handle."""
_OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARS)]
NonEmptyStr = Annotated[str, Meta(min_length=1)]
"""Text that whoever publishes it may make as long as the document that contains it allows."""
HeaderName = Annotated[str, Meta(pattern=r"\A[!-~](?:[ -~]{0,198}[!-~])?\Z")]
"""A name that is sent as a header value: printable ASCII, so that it can't contain line breaks."""
FieldValue = Annotated[
    str, Meta(pattern="\\A[!-~\x80-\xff](?:[\\t -~\x80-\xff]*[!-~\x80-\xff])?\\Z")
]
"""A header value (RFC 9110, section 5.5) without line breaks."""
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
PlanVersion = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
"""Version of the configuration, which may be a time in nanoseconds."""
NonNegativeInt = Annotated[int, Meta(ge=0)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]
Priority = Annotated[int, Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
Capacity = Annotated[int, Meta(ge=1, le=MAX_CAPACITY)]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Ipv4 = Annotated[str, Meta(pattern=rf"\A(?:{_OCTET}\.){{3}}{_OCTET}\Z")]
"""Never a host name, since resolving one would block the event loop."""
Milliseconds = Annotated[float, Meta(ge=0, le=MAX_MS)]
AgeMs = Annotated[float, Meta(ge=-1, le=MAX_MS)]
"""An age; -1 if the event has never happened."""
Rate = Annotated[float, Meta(ge=0, le=MAX_RATE)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
