"""A simulated upstream, which can slow down, fail, crash and start cold."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bamboo_bench.policy.clock import Timer, VirtualClock

POISON_BODY = b"poison"
COLD_START_SECONDS = 5.0
COLD_SLOWNESS = 5.0  # Factor on the execution time of a completely cold upstream.
OWN_TIME_GAMMA_SHAPE = 8.0  # The mean is the specified own time.


@dataclass(slots=True)
class UpstreamCondition:
    """The faults that a scenario injects into an upstream.

    ``slowness`` multiplies the own time of every execution, ``slowness_by_kind`` that of one kind.
    Above ``saturation_concurrency`` concurrent executions (0: no limit) own times grow in
    proportion to the concurrency. ``false_report`` falsifies the load report: "idle" or "full".
    ``failure_rate`` is the fraction of executions that fail after their full time.
    """

    slowness: float = 1.0
    slowness_by_kind: dict[str, float] = field(default_factory=dict)
    saturation_concurrency: int = 0
    cold_start_seconds: float = COLD_START_SECONDS
    restart_seconds: float = 2.0
    false_report: str = ""
    failure_rate: float = 0.0


class FakeUpstream:
    """An upstream that simulates the duration of executions; its node decides what runs.

    ``crash_times`` and ``down_until`` are in seconds of virtual time. ``on_crash`` is called when
    the upstream crashes.
    """

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
        """Return whether the upstream is down, so that it refuses connections."""
        return self._clock.now < self.down_until

    def restart_cold(self) -> None:
        """Become completely cold, as after a restart."""
        self._warm_fraction = 0.0
        self._warmth_updated_at = self._clock.now

    def crash(self) -> None:
        """Abort every running execution, stay down for the restart time, then start cold."""
        self.crash_times.append(self._clock.now)
        self.down_until = self._clock.now + self.condition.restart_seconds
        self.running_executions = 0
        self.on_crash()
        self._clock.call_at(self.down_until, self.restart_cold)

    def schedule_own_time(
        self, kind: str, own_seconds: float, callback: Callable[[], None]
    ) -> Timer:
        """Schedule a callback after an own time, with random variation and the current slowness."""
        time_factor = self._random.gammavariate(OWN_TIME_GAMMA_SHAPE, 1.0 / OWN_TIME_GAMMA_SHAPE)
        seconds = own_seconds * time_factor * self._slowness(kind)
        return self._clock.call_later(seconds, callback)

    def draws_failure(self) -> bool:
        """Return whether an execution fails, drawn at random with the failure rate."""
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
        # An upstream with more executions than its warm fraction can carry warms up more slowly, as
        # cache filling and JIT compilation compete with them.
        warm_concurrency = max(1.0, self._warm_fraction * self.slots)
        contention = max(1.0, self.running_executions / warm_concurrency)
        elapsed = self._clock.now - self._warmth_updated_at
        self._warmth_updated_at = self._clock.now
        warmth_gain = elapsed / max(self.condition.cold_start_seconds, 0.001) / contention
        self._warm_fraction = min(1.0, self._warm_fraction + warmth_gain)
        return 1.0 + (COLD_SLOWNESS - 1.0) * (1.0 - self._warm_fraction) * contention
