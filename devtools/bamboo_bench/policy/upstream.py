"""A fake upstream: runs executions, slows, starts cold, crashes."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bamboo_bench.policy.clock import Timer, VirtualClock

POISON_BODY = b"poison"
COLD_START_SECONDS = 5.0
COLD_SLOWNESS = 5.0  # A wholly cold upstream takes this many times its usual time.
OWN_TIME_GAMMA_SHAPE = 8.0  # Shape of the gamma distribution of an execution's own time.


@dataclass(slots=True)
class UpstreamCondition:
    """Hold what a scenario does to an upstream.

    ``slowness`` multiplies every own time, ``slowness_by_kind`` that of one kind. Above ``knee``
    executions at once (0: none) own times grow in proportion. ``failure_rate`` is the part of
    executions that fail after their whole time.
    """

    slowness: float = 1.0
    slowness_by_kind: dict[str, float] = field(default_factory=dict)
    saturation_concurrency: int = 0
    cold_start_seconds: float = COLD_START_SECONDS
    restart_seconds: float = 2.0
    false_report: str = ""
    failure_rate: float = 0.0


class FakeUpstream:
    """Turn own times into delays; the node beside it decides what runs."""

    __slots__ = (
        "_clock",
        "_random",
        "_warm_fraction",
        "_warmth_updated_at",
        "condition",
        "crash_times",
        "down_until",
        "on_crash",
        "running_executions",
        "slots",
    )

    def __init__(self, slots: int, clock: VirtualClock, rng: random.Random):
        self.slots = slots
        self.condition = UpstreamCondition()
        self.running_executions = 0
        self.down_until = 0.0
        self.crash_times: list[float] = []
        self.on_crash: Callable[[], None] = lambda: None
        self._clock = clock
        self._random = rng
        self._warm_fraction = 1.0
        self._warmth_updated_at = 0.0

    @property
    def is_down(self) -> bool:
        """Return whether nothing answers at the upstream's address."""
        return self._clock.now < self.down_until

    def restart_cold(self) -> None:
        """Start again with everything cold."""
        self._warm_fraction = 0.0
        self._warmth_updated_at = self._clock.now

    def crash(self) -> None:
        """Lose every running execution, stay down for a while, then start cold."""
        self.crash_times.append(self._clock.now)
        self.down_until = self._clock.now + self.condition.restart_seconds
        self.running_executions = 0
        self.on_crash()
        self._clock.call_at(self.down_until, self.restart_cold)

    def schedule_own_time(
        self, kind: str, own_seconds: float, callback: Callable[[], None]
    ) -> Timer:
        """Run a callback once an execution's own time has passed."""
        time_factor = self._random.gammavariate(OWN_TIME_GAMMA_SHAPE, 1.0 / OWN_TIME_GAMMA_SHAPE)
        seconds = own_seconds * time_factor * self._slowness(kind)
        return self._clock.call_later(seconds, callback)

    def draws_failure(self) -> bool:
        """Return whether an execution that has taken its time fails."""
        rate = self.condition.failure_rate
        return rate > 0.0 and self._random.random() < rate

    def _slowness(self, kind: str) -> float:
        condition = self.condition
        slowness = condition.slowness * condition.slowness_by_kind.get(kind, 1.0)
        if (
            condition.saturation_concurrency
            and self.running_executions > condition.saturation_concurrency
        ):
            slowness *= self.running_executions / condition.saturation_concurrency
        return slowness * self._cold_slowness()

    def _cold_slowness(self) -> float:
        if self._warm_fraction >= 1.0:
            return 1.0
        # An upstream that runs more than its warm part allows warms up more slowly, as caches
        # and compilers compete with the work.
        warm_concurrency = max(1.0, self._warm_fraction * self.slots)
        contention = max(1.0, self.running_executions / warm_concurrency)
        elapsed = self._clock.now - self._warmth_updated_at
        self._warmth_updated_at = self._clock.now
        warmth_gain = elapsed / max(self.condition.cold_start_seconds, 0.001) / contention
        self._warm_fraction = min(1.0, self._warm_fraction + warmth_gain)
        return 1.0 + (COLD_SLOWNESS - 1.0) * (1.0 - self._warm_fraction) * contention
