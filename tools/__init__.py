"""Developer tools: tests, demo, bench and slopes."""
