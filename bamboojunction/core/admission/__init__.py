"""Admission control: the concurrency limit, the rank queue and load shedding."""
