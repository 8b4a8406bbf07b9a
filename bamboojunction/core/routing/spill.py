"""The choice between the local data centre and remote ones."""

# A call goes to a remote data centre only if the expected local time exceeds the remote time
# multiplied by this factor, plus the margin below.
REMOTE_TIME_FACTOR = 1.5
REMOTE_TIME_MARGIN_SECONDS = 0.005
# Up to this share of a call's latency goal, the local data centre is as good as any other.
GOAL_SHARE = 0.5


def should_spill_over(
    local_seconds: float, remote_seconds: float, goal_seconds: float = 0.0
) -> bool:
    """Return whether a call should be sent to a remote data centre.

    The times are the expected completion times in seconds. ``goal_seconds`` is the latency goal, or
    0 if there is none.
    """
    if local_seconds <= GOAL_SHARE * goal_seconds:
        return False
    return local_seconds > remote_seconds * REMOTE_TIME_FACTOR + REMOTE_TIME_MARGIN_SECONDS
