"""The choice between the local data centre and remote ones."""

# A call goes to a remote data centre only if the local time exceeds the remote time by both.
REMOTE_TIME_FACTOR = 1.5
REMOTE_TIME_MARGIN_SECONDS = 0.005
# Up to this share of a call's latency goal, the local data centre is as good as any other.
GOAL_SHARE = 0.5


def should_spill_over(
    local_seconds: float, remote_seconds: float, goal_seconds: float = 0.0
) -> bool:
    """Return whether a call should be sent to a remote data centre."""
    if local_seconds <= GOAL_SHARE * goal_seconds:
        return False
    return local_seconds > remote_seconds * REMOTE_TIME_FACTOR + REMOTE_TIME_MARGIN_SECONDS
