"""What a rendering of metrics and its users share, without the library that renders."""

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the Prometheus text format."""

Labels = dict[str, str]
"""Values of labels by name."""
