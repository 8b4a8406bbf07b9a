"""Simple replacements for external systems, used only by tests and benchmarks."""
