"""Helpers for playing days on the operators' bench."""
