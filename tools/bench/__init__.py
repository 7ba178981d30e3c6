"""The bench: tail latency, coverage, extra load and refusals under load and faults.

Run ``python -m tools.bench --help`` for its flags, and see docs/bench.md.
"""
