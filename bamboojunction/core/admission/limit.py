"""The adaptive limit on concurrent calls to an upstream."""

from bamboojunction.core.admission.tickets import CompletionStatus

DECREASE_FACTOR = 0.9
DECREASE_INTERVAL_SECONDS = 0.2


class AdaptiveLimit:
    """A concurrency limit between 1 and the upstream's slots, adjusted each time a call ends.

    A refusal by the upstream lowers the limit by a tenth, at most once per
    ``DECREASE_INTERVAL_SECONDS``. A crash sets it to 1, because the upstream restarts cold. If the
    length of the cold start is known, the limit then rises linearly over that time. Otherwise each
    call that succeeds or fails while the limit is reached raises it by one. Once a refusal has
    lowered the limit, such a call raises it by one divided by the limit.
    """

    __slots__ = ("_cold_since", "_cold_start_seconds", "_decreased_at", "_limit", "_slots")

    def __init__(self, slots: int, cold_start_seconds: float = 0.0):
        self._slots = slots
        self._cold_start_seconds = cold_start_seconds
        self._cold_since: float | None = None
        self._decreased_at = float("-inf")
        self._limit = float(slots)

    def current(self, now: float) -> int:
        """Return the number of calls that may run at once."""
        return max(1, min(int(self._limit), self._cold_start_limit(now)))

    def begin_cold_start(self, now: float) -> None:
        """Ramp the limit up from 1 after the upstream was started."""
        self._cold_since = now
        if self._cold_start_seconds <= 0:
            self._limit = 1.0

    def record_end(self, status: CompletionStatus, in_flight: int, now: float) -> None:
        """Adjust the limit after a call ended; ``in_flight`` still counts that call."""
        match status:
            case CompletionStatus.SUCCEEDED | CompletionStatus.FAILED:
                self._increase(in_flight)
            case CompletionStatus.OVERLOADED:
                self._decrease(now)
            case CompletionStatus.CRASHED:
                self.begin_cold_start(now)

    def _increase(self, in_flight: int) -> None:
        if self._limit < self._slots and in_flight >= int(self._limit):
            increase = 1.0 if self._cold_since is not None else 1.0 / self._limit
            self._limit = min(float(self._slots), self._limit + increase)
        elif self._limit >= self._slots and self._cold_start_seconds <= 0:
            self._cold_since = None

    def _decrease(self, now: float) -> None:
        if now - self._decreased_at < DECREASE_INTERVAL_SECONDS:
            return
        self._decreased_at = now
        self._cold_since = None if self._cold_start_seconds <= 0 else self._cold_since
        self._limit = max(1.0, self._limit * DECREASE_FACTOR)

    def _cold_start_limit(self, now: float) -> int:
        if self._cold_since is None or self._cold_start_seconds <= 0:
            return self._slots
        progress = (now - self._cold_since) / self._cold_start_seconds
        if progress >= 1.0:
            self._cold_since = None
            return self._slots
        return max(1, int(self._slots * progress))
