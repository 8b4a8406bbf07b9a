"""Detection of pauses of this process, after which buffered messages may be stale."""

from collections import deque

# The interval at which the event loop calls ``PauseDetector.tick``.
PAUSE_CHECK_INTERVAL_SECONDS = 0.05

# The shortest gap between two ticks that counts as a pause.
PAUSE_MIN_SECONDS = 0.25

# The time after a pause during which messages read may have waited in socket buffers.
BACKLOG_AFTER_PAUSE_SECONDS = 1.0


class PauseDetector:
    """Detects pauses of the event loop by the gaps between its ticks, and bounds message ages.

    A message that is read now may have arrived at any moment since the loop last ran. While the
    loop ticks on time, it is a few milliseconds old at most. After a pause, every message that is
    read until the socket buffers are empty may be as old as the pause was long, so its remaining
    time is reduced by that length. A call whose deadline has passed by this rule is refused as not
    run, which is accurate because it was never started.
    """

    __slots__ = ("_last_tick_at", "_pauses")

    def __init__(self, now: float):
        self._last_tick_at = now
        self._pauses: deque[tuple[float, float]] = deque()

    def restart(self, now: float) -> None:
        """Forget all pauses, as no message has come before now."""
        self._last_tick_at = now
        self._pauses.clear()

    def tick(self, now: float) -> float:
        """Record a tick and return the length in seconds of the pause that it ended, or 0."""
        gap = now - self._last_tick_at
        self._last_tick_at = now
        if gap < PAUSE_MIN_SECONDS:
            return 0.0
        self._pauses.append((now, gap))
        return gap

    def max_message_age(self, now: float) -> float:
        """Return the greatest possible age in seconds of a message that is read now."""
        gap = now - self._last_tick_at
        if gap >= PAUSE_MIN_SECONDS:
            self.tick(now)
        while self._pauses and now - self._pauses[0][0] >= BACKLOG_AFTER_PAUSE_SECONDS:
            self._pauses.popleft()
        return max((length for _, length in self._pauses), default=0.0)

    def deadline(self, remaining: float, now: float) -> float:
        """Return the deadline of a call that is read now with ``remaining`` seconds left."""
        return now + remaining - self.max_message_age(now)
