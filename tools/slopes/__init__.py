"""Slopes of cost over size, from which docs/CAPACITY.md is worked out."""
