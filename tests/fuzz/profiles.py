"""Hypothesis profiles: short and the same in CI, long and random for ``make fuzz``."""

import os

from hypothesis import HealthCheck, settings

SLOW_CHECKS = (HealthCheck.too_slow, HealthCheck.differing_executors)

settings.register_profile(
    "ci", derandomize=True, max_examples=150, deadline=None, suppress_health_check=SLOW_CHECKS
)
settings.register_profile(
    "long", max_examples=20_000, deadline=None, print_blob=True, suppress_health_check=SLOW_CHECKS
)
settings.load_profile(os.environ.get("BAMBOO_FUZZ", "ci"))
