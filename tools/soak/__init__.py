"""A soak: entries as processes under drawn faults, checked from what callers and searchers see.

Usage: ``python -m tools.soak [--seed=1] [--seeds=1] [--seconds=30] [--entries=6]``
"""
