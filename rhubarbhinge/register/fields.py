"""Parsers of single values, for other documents and settings that need the same checks."""

from rhubarbhinge.register._fields import format_value, integer, ip_address, name

__all__ = ["format_value", "integer", "ip_address", "name"]
