"""Estimates of the service time of calls at an upstream, by kind."""

from dataclasses import dataclass

SMOOTHING_FACTOR = 0.1
# Mean absolute deviations above the mean at which ``upper_bound`` lies.
DEVIATIONS_ABOVE_MEAN = 3.0
STALE_HALF_LIFE_SECONDS = 1.0
STALE_AFTER_SECONDS = 1.0


@dataclass(slots=True)
class _Estimate:
    mean: float
    deviation: float
    measured_at: float


class GateServiceTimes:
    """Moving averages of the service times at one upstream, by kind.

    An estimate that is not updated for ``STALE_AFTER_SECONDS`` decays with a half-life of
    ``STALE_HALF_LIFE_SECONDS``. Without the decay, an estimate from a slow period could be so high
    that every call is refused for its deadline, and then no call would ever correct it.
    """

    __slots__ = ("_by_kind", "overall_mean")

    def __init__(self):
        self._by_kind: dict[str, _Estimate] = {}
        self.overall_mean = 0.0

    def add(self, kind: str, seconds: float, now: float) -> None:
        """Add a measured service time of a kind, also to ``overall_mean`` over all kinds."""
        self.overall_mean += SMOOTHING_FACTOR * (seconds - self.overall_mean)
        estimate = self._by_kind.get(kind)
        if estimate is None:
            self._by_kind[kind] = _Estimate(seconds, 0.0, now)
            return
        error = seconds - estimate.mean
        estimate.mean += SMOOTHING_FACTOR * error
        estimate.deviation += SMOOTHING_FACTOR * (abs(error) - estimate.deviation)
        estimate.measured_at = now

    def expected(self, kind: str, now: float) -> float:
        """Return the expected service time of a kind in seconds, or 0 if nothing is known."""
        estimate = self._by_kind.get(kind)
        if estimate is None:
            return 0.0
        return estimate.mean * self._decay_factor(estimate, now)

    def upper_bound(self, kind: str, now: float) -> float:
        """Return the seconds within which most calls of a kind end, or 0 if nothing is known."""
        estimate = self._by_kind.get(kind)
        if estimate is None:
            return 0.0
        seconds = estimate.mean + DEVIATIONS_ABOVE_MEAN * estimate.deviation
        return seconds * self._decay_factor(estimate, now)

    def _decay_factor(self, estimate: _Estimate, now: float) -> float:
        stale_seconds = now - estimate.measured_at - STALE_AFTER_SECONDS
        if stale_seconds <= 0:
            return 1.0
        return 0.5 ** (stale_seconds / STALE_HALF_LIFE_SECONDS)
