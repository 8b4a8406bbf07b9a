"""The choice between the own data centre and the others."""

# A call leaves its data centre only when that promises at least this much less time.
SPILL_FACTOR = 1.5
SPILL_MARGIN_SECONDS = 0.005
# The part of a call's aim up to which the own data centre serves as well as any other.
AIM_SHARE = 0.5


def spills(near_seconds: float, far_seconds: float, aim: float = 0.0) -> bool:
    """Return whether a call should leave its data centre."""
    if near_seconds <= AIM_SHARE * aim:
        return False
    return near_seconds > far_seconds * SPILL_FACTOR + SPILL_MARGIN_SECONDS
