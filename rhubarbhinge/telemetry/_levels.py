"""Levels of the log, by name."""

from absl import logging

LEVELS: dict[str, int] = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
"""The library's number of each level; a higher number says more."""
