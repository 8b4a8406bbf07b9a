"""Benchmarks of the decision classes and of running nodes."""
