"""Parsers of single values, for other documents and settings that need the same checks."""

from rhubarbhinge.register._fields import integer, ip_address, name, shown

__all__ = ["integer", "ip_address", "name", "shown"]
