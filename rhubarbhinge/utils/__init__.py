"""Helpers shared by several subpackages."""
