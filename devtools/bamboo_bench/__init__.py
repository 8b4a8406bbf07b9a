"""Benches that measure the decisions and the running path."""
