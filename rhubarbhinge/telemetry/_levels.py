"""Levels of the log, by name."""

LEVELS: dict[str, int] = {"debug": 1, "info": 0, "warning": -1, "error": -2}
"""The numbers that ``absl.logging`` has for the levels; a higher number says more."""
