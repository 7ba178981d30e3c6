"""rhubarbhinge: a query tier over many shards."""

__version__ = "0.1.0"
