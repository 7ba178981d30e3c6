"""The whole path on loopback, set up, used, broken and checked."""
