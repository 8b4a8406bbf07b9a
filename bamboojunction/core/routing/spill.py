"""The choice between the own data centre and the others."""

# A call leaves its data centre only when that promises at least this much less time.
SPILL_FACTOR = 1.5
SPILL_MARGIN_SECONDS = 0.005


def spills(near_seconds: float, far_seconds: float) -> bool:
    """Return whether a call should leave its data centre."""
    return near_seconds > far_seconds * SPILL_FACTOR + SPILL_MARGIN_SECONDS
