"""Detection of pauses of this process, after which what was received may be old."""

from collections import deque

# How often the driver ticks while the process runs.
TICK_SECONDS = 0.05

# A gap between ticks from which on the process counts as paused.
PAUSE_MIN_SECONDS = 0.25

# How long after a pause messages may still come out of the sockets' buffers.
BACKLOG_SECONDS = 1.0


class PauseDetector:
    """Bound the age of messages by the gaps between the ticks of the event loop.

    A message that is read now may have arrived at any moment since the loop last ran. While the
    loop ticks on time that error is a few milliseconds. After a pause, everything that is read
    until the buffers are empty may be as old as the pause, so its remaining time is cut by as much.
    A call whose time is up by that rule is refused as not run, which is true because it was not
    started.
    """

    __slots__ = ("_pauses", "_ticked_at")

    def __init__(self, now: float):
        self._ticked_at = now
        self._pauses: deque[tuple[float, float]] = deque()

    def tick(self, now: float) -> float:
        """Note that the loop runs and return the length of the pause that this ended, or 0."""
        gap = now - self._ticked_at
        self._ticked_at = now
        if gap < PAUSE_MIN_SECONDS:
            return 0.0
        self._pauses.append((now, gap))
        return gap

    def age_max(self, now: float) -> float:
        """Return how old a message that is read now may be, in seconds."""
        gap = now - self._ticked_at
        if gap >= PAUSE_MIN_SECONDS:
            self.tick(now)
        while self._pauses and now - self._pauses[0][0] >= BACKLOG_SECONDS:
            self._pauses.popleft()
        return max((length for _, length in self._pauses), default=0.0)

    def deadline(self, remaining: float, now: float) -> float:
        """Return the deadline of a call that is read now with this much time left."""
        return now + remaining - self.age_max(now)
