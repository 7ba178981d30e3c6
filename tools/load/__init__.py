"""Open-loop load and faults on entries with stand-ins of the operators' platform."""
