"""Tools for scenarios of the operators' test bench."""
