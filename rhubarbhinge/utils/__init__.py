"""Small helpers that several subpackages share."""
