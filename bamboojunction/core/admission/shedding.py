"""Control of the fraction of each rank's actions that the gate admits."""

from collections.abc import Callable
from dataclasses import dataclass

from bamboojunction.core.load import AdmissionLevel, RankShare

INTERVAL_SECONDS = 0.1
TARGET_DELAY_SECONDS = 0.1
TARGET_CALLS_MIN = 3.0
WAIT_SECONDS_MAX = 0.5
HORIZON_SECONDS = 1.0
# While a queue is worked off, calls are still admitted at this share of the rate of starts.
DRAINING_SHARE = 0.5
LASTING_SECONDS_MIN = 0.2
LASTING_SECONDS_MAX = 0.5
RATE_GAIN = 0.2
FRACTION_MIN = 0.01
STEP_DOWN_MIN = 0.8
STEP_UP_MAX = 1.2
STEP_UP_IDLE = 1.4
# Calls from deeper in a chain were admitted at the edge and have cost something already.
DEEP_MARGIN = 1.5


@dataclass(slots=True)
class RankShedder:
    """Hold the fraction of one rank that is admitted and the rates it is controlled by.

    Shedding begins when the queue has not fallen below its target for a while, so that a burst
    is queued and only a lasting excess is shed. The demand is the rate of admitted calls over the
    fraction that was admitted, both averaged alike; the fraction follows from what the rank
    starts and from how far its queue is from the target.
    """

    fraction: float = 1.0
    admitted: int = 0
    started: int = 0
    queue_min: int = 0
    admitted_rate: float = 0.0
    started_rate: float = 0.0
    fraction_average: float = 1.0
    above_target_seconds: float = 0.0

    def update(
        self, waiting: int, has_free_slot: bool, seconds: float, service_seconds: float
    ) -> None:
        """Close an interval and move the fraction.

        A queue has to stay above its target for about a usual service time, since slots that are
        all taken for one such time are no lasting excess.
        """
        self.admitted_rate += RATE_GAIN * (self.admitted / seconds - self.admitted_rate)
        self.started_rate += RATE_GAIN * (self.started / seconds - self.started_rate)
        self.fraction_average += RATE_GAIN * (self.fraction - self.fraction_average)
        target = max(TARGET_CALLS_MIN, self.started_rate * TARGET_DELAY_SECONDS)
        is_above = self.queue_min > target
        self.above_target_seconds = self.above_target_seconds + seconds if is_above else 0.0
        lasting_seconds = max(LASTING_SECONDS_MIN, min(LASTING_SECONDS_MAX, service_seconds))
        if self.fraction < 1.0 or self.above_target_seconds >= lasting_seconds:
            self._move(waiting, target, has_free_slot and not waiting)
        self.admitted = 0
        self.started = 0
        self.queue_min = waiting

    def _move(self, waiting: int, target: float, is_idle: bool) -> None:
        correction = (target - waiting) / HORIZON_SECONDS
        wanted = max(DRAINING_SHARE * self.started_rate, self.started_rate + correction)
        demand = self.admitted_rate / self.fraction_average
        step = wanted / demand / self.fraction if demand > 0 else STEP_UP_MAX
        step = min(STEP_UP_MAX, max(STEP_DOWN_MIN, step))
        if is_idle:
            step = STEP_UP_IDLE
        self.fraction = min(1.0, max(FRACTION_MIN, self.fraction * step))


class Shedding:
    """Keep a shedder for each rank and move them all once an interval."""

    __slots__ = ("_by_rank", "_level", "_updated_at")

    def __init__(self):
        self._by_rank: dict[int, RankShedder] = {}
        self._level = AdmissionLevel()
        self._updated_at = 0.0

    @property
    def level(self) -> AdmissionLevel:
        """Return the level that answers carry."""
        return self._level

    def waits_too_long(self, rank: int, waiting: int) -> bool:
        """Return whether one more call of a shed rank would wait longer than is worth a slot.

        A call that waits here holds a slot at every hop above.
        """
        shedder = self._by_rank.get(rank)
        if shedder is None or shedder.fraction >= 1.0:
            return False
        calls_max = max(TARGET_CALLS_MIN, shedder.started_rate * WAIT_SECONDS_MAX)
        return waiting >= calls_max

    @property
    def sheds(self) -> bool:
        """Return whether any rank is shed."""
        return bool(self._level.shares)

    def admits(self, rank: int, place: float, depth: int) -> bool:
        """Return whether an action with this hash is admitted."""
        fraction = self._level.fraction(rank)
        return place < fraction * (DEEP_MARGIN if depth else 1.0)

    def note_admitted(self, rank: int) -> None:
        """Count a call that was queued or started."""
        self._shedder(rank).admitted += 1

    def note_started(self, rank: int, waiting: int) -> None:
        """Count a call that took a slot, with the number that still wait."""
        shedder = self._shedder(rank)
        shedder.started += 1
        shedder.queue_min = min(shedder.queue_min, waiting)

    def update(
        self,
        waiting_in: Callable[[int], int],
        has_free_slot: bool,
        service_seconds: float,
        now: float,
    ) -> None:
        """Move the fractions if an interval is over; ``waiting_in`` counts a rank's queue."""
        if now < self.next_update():
            return
        elapsed = now - self._updated_at
        self._updated_at = now
        for rank, shedder in self._by_rank.items():
            shedder.update(waiting_in(rank), has_free_slot, elapsed, service_seconds)
        shares = sorted(
            (rank, shedder.fraction)
            for rank, shedder in self._by_rank.items()
            if shedder.fraction < 1.0
        )
        self._level = AdmissionLevel(tuple(RankShare(*share) for share in shares))

    def next_update(self) -> float:
        """Return when the interval is over."""
        return self._updated_at + INTERVAL_SECONDS

    def _shedder(self, rank: int) -> RankShedder:
        shedder = self._by_rank.get(rank)
        if shedder is None:
            shedder = self._by_rank[rank] = RankShedder()
        return shedder
