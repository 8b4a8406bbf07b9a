"""Control of the fraction of each rank's actions that the gate admits."""

from dataclasses import dataclass

from bamboojunction.core.load import AdmissionLevel, RankShare

INTERVAL_SECONDS = 0.1
TARGET_DELAY_SECONDS = 0.05
TARGET_CALLS_MIN = 2.0
HORIZON_SECONDS = 0.5
LASTING_INTERVALS = 2
RATE_GAIN = 0.2
FRACTION_MIN = 0.01
STEP_DOWN_MIN = 0.8
STEP_UP_MAX = 1.1
STEP_UP_IDLE = 1.4
# Calls from deeper in a chain were admitted at the edge and have cost something already.
DEEP_MARGIN = 1.25


@dataclass(slots=True)
class RankShedder:
    """Hold the fraction of one rank that is admitted and the rates it is controlled by.

    Shedding begins when the queue has not fallen below its target for a while, so that a burst
    is queued and only a lasting excess is shed.
    """

    fraction: float = 1.0
    admitted: int = 0
    started: int = 0
    queue_min: int = 0
    admitted_rate: float = 0.0
    started_rate: float = 0.0
    lasting: int = 0

    def update(self, waiting: int, seconds: float) -> None:
        """Close an interval and move the fraction."""
        self.admitted_rate += RATE_GAIN * (self.admitted / seconds - self.admitted_rate)
        self.started_rate += RATE_GAIN * (self.started / seconds - self.started_rate)
        target = max(TARGET_CALLS_MIN, self.started_rate * TARGET_DELAY_SECONDS)
        self.lasting = self.lasting + 1 if self.queue_min > target else 0
        if self.fraction < 1.0 or self.lasting >= LASTING_INTERVALS:
            self._move(waiting, target)
        self.admitted = 0
        self.started = 0
        self.queue_min = waiting

    def _move(self, waiting: int, target: float) -> None:
        wanted_rate = max(0.0, self.started_rate + (target - waiting) / HORIZON_SECONDS)
        step = wanted_rate / self.admitted_rate if self.admitted_rate > 0 else STEP_UP_MAX
        step_max = STEP_UP_MAX if self.queue_min else STEP_UP_IDLE
        step = min(step_max, max(STEP_DOWN_MIN, step))
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

    def update(self, waiting_by_rank, now: float) -> None:
        """Move the fractions if an interval is over; ``waiting_by_rank`` maps a rank to a count."""
        if now < self.next_update():
            return
        elapsed = now - self._updated_at
        self._updated_at = now
        for rank, shedder in self._by_rank.items():
            shedder.update(waiting_by_rank(rank), elapsed)
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
