"""Parsers of single values, for other documents and settings that need the same checks."""

from rhubarbhinge.register._fields import ip_number, name, shown, whole

__all__ = ["ip_number", "name", "shown", "whole"]
