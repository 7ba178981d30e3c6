"""Definitions for users of metrics that do not need the rendering library."""

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the Prometheus text format."""

Labels = dict[str, str]
"""Label values by name."""
