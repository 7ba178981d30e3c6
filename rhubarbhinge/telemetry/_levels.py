"""Log levels."""

LEVELS: dict[str, int] = {"debug": 1, "info": 0, "warning": -1, "error": -2}
"""Verbosity of each level in ``absl.logging``; a higher number is more verbose."""
