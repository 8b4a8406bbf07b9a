"""Measured service times by kind."""

from dataclasses import dataclass

GAIN = 0.1
DEVIATIONS = 3.0
UNCONFIRMED_HALF_LIFE_SECONDS = 1.0
GRACE_SECONDS = 1.0


@dataclass(slots=True)
class _Estimate:
    mean: float
    deviation: float
    measured_at: float


class ServiceTimes:
    """Estimate how long a call of a kind takes at the upstream.

    An estimate that no call confirms halves every second. Otherwise a slow spell, after which
    every call is dropped as too late, would leave an estimate that nothing corrects.
    """

    __slots__ = ("_by_kind", "usual")

    def __init__(self):
        self._by_kind: dict[str, _Estimate] = {}
        self.usual = 0.0

    def add(self, kind: str, seconds: float, now: float) -> None:
        """Take in one measured service time; ``usual`` averages those of all kinds."""
        self.usual += GAIN * (seconds - self.usual)
        estimate = self._by_kind.get(kind)
        if estimate is None:
            self._by_kind[kind] = _Estimate(seconds, 0.0, now)
            return
        error = seconds - estimate.mean
        estimate.mean += GAIN * error
        estimate.deviation += GAIN * (abs(error) - estimate.deviation)
        estimate.measured_at = now

    def expected(self, kind: str, now: float) -> float:
        """Return the expected seconds of a call of a kind, 0 when nothing is known."""
        estimate = self._by_kind.get(kind)
        if estimate is None:
            return 0.0
        return estimate.mean * self._confidence(estimate, now)

    def cautious(self, kind: str, now: float) -> float:
        """Return the seconds within which most calls of a kind end, 0 when nothing is known."""
        estimate = self._by_kind.get(kind)
        if estimate is None:
            return 0.0
        seconds = estimate.mean + DEVIATIONS * estimate.deviation
        return seconds * self._confidence(estimate, now)

    def _confidence(self, estimate: _Estimate, now: float) -> float:
        unconfirmed = now - estimate.measured_at - GRACE_SECONDS
        if unconfirmed <= 0:
            return 1.0
        return 0.5 ** (unconfirmed / UNCONFIRMED_HALF_LIFE_SECONDS)
