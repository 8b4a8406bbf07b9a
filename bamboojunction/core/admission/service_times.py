"""Measured service times by kind."""

from dataclasses import dataclass

GAIN = 0.1
UNCONFIRMED_HALF_LIFE_SECONDS = 1.0
GRACE_SECONDS = 1.0


@dataclass(slots=True)
class _Estimate:
    mean: float
    measured_at: float


class ServiceTimes:
    """Estimate how long a call of a kind takes at the upstream.

    An estimate that no call confirms halves every second. Otherwise a slow spell, after which
    every call is dropped as too late, would leave an estimate that nothing corrects.
    """

    __slots__ = ("_by_kind",)

    def __init__(self):
        self._by_kind: dict[str, _Estimate] = {}

    def add(self, kind: str, seconds: float, now: float) -> None:
        """Take in one measured service time."""
        estimate = self._by_kind.get(kind)
        if estimate is None:
            self._by_kind[kind] = _Estimate(seconds, now)
            return
        estimate.mean += GAIN * (seconds - estimate.mean)
        estimate.measured_at = now

    def expected(self, kind: str, now: float) -> float:
        """Return the expected seconds of a call of a kind, 0 when nothing is known."""
        estimate = self._by_kind.get(kind)
        if estimate is None:
            return 0.0
        unconfirmed = now - estimate.measured_at - GRACE_SECONDS
        if unconfirmed <= 0:
            return estimate.mean
        return estimate.mean * 0.5 ** (unconfirmed / UNCONFIRMED_HALF_LIFE_SECONDS)
