"""Hypothesis profiles: ``ci`` is short and deterministic, ``long`` (``make fuzz``) is random."""

import os

from hypothesis import HealthCheck, settings

SUPPRESSED_HEALTH_CHECKS = (HealthCheck.too_slow, HealthCheck.differing_executors)

settings.register_profile(
    "ci",
    derandomize=True,
    max_examples=150,
    deadline=None,
    suppress_health_check=SUPPRESSED_HEALTH_CHECKS,
)
settings.register_profile(
    "long",
    max_examples=20_000,
    deadline=None,
    print_blob=True,
    suppress_health_check=SUPPRESSED_HEALTH_CHECKS,
)
settings.load_profile(os.environ.get("BAMBOO_FUZZ", "ci"))
