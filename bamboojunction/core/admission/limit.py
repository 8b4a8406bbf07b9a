"""The adaptive limit on the calls that run at the upstream at once."""

from bamboojunction.core.admission.tickets import ServiceEnd

OVERLOAD_FACTOR = 0.9
CUT_PAUSE_SECONDS = 0.2


class AdaptiveLimit:
    """Move between 1 and the upstream's slots by how calls end.

    A refusal by the upstream lowers the limit by a tenth, at most once in a pause. A crash sets it
    to 1, as the upstream starts cold; from there it follows the cold start, if its length is
    known, or grows by one with each success.
    """

    __slots__ = ("_cold_from", "_cold_start_seconds", "_cut_at", "_slots", "_value")

    def __init__(self, slots: int, cold_start_seconds: float = 0.0):
        self._slots = slots
        self._cold_start_seconds = cold_start_seconds
        self._cold_from: float | None = None
        self._cut_at = float("-inf")
        self._value = float(slots)

    def current(self, now: float) -> int:
        """Return the limit."""
        return max(1, min(int(self._value), self._ramp(now)))

    def start_cold(self, now: float) -> None:
        """Begin the ramp, as the upstream was just started."""
        self._cold_from = now
        if self._cold_start_seconds <= 0:
            self._value = 1.0

    def ended(self, end: ServiceEnd, in_flight: int, now: float) -> None:
        """Learn from a call that ended; ``in_flight`` counts it too."""
        match end:
            case ServiceEnd.SUCCEEDED | ServiceEnd.FAILED:
                self._grow(in_flight)
            case ServiceEnd.OVERLOADED:
                self._cut(now)
            case ServiceEnd.CRASHED:
                self.start_cold(now)

    def _grow(self, in_flight: int) -> None:
        if self._value < self._slots and in_flight >= int(self._value):
            gain = 1.0 if self._cold_from is not None else 1.0 / self._value
            self._value = min(float(self._slots), self._value + gain)
        elif self._value >= self._slots and self._cold_start_seconds <= 0:
            self._cold_from = None

    def _cut(self, now: float) -> None:
        if now - self._cut_at < CUT_PAUSE_SECONDS:
            return
        self._cut_at = now
        self._cold_from = None if self._cold_start_seconds <= 0 else self._cold_from
        self._value = max(1.0, self._value * OVERLOAD_FACTOR)

    def _ramp(self, now: float) -> int:
        if self._cold_from is None or self._cold_start_seconds <= 0:
            return self._slots
        warm = (now - self._cold_from) / self._cold_start_seconds
        if warm >= 1.0:
            self._cold_from = None
            return self._slots
        return max(1, int(self._slots * warm))
