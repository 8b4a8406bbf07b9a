"""Load shedding: control of the fraction of each rank's actions that the gate admits.

Load pattern: for some seconds, clients send more requests than the last service of their chains can
take. Each call that waits there holds a slot at every service above it, so that a short queue at
the last service soon fills the slots of the others, and work that does not need it waits as well.
"""

from collections.abc import Callable
from dataclasses import dataclass

from bamboojunction.core.load_reports import AdmissionLevel, RankFraction

UPDATE_INTERVAL_SECONDS = 0.1
# Event loops round timers, so one for the end of an interval may fire this much too early.
TIMER_ROUNDING_SECONDS = 0.001
TARGET_QUEUE_DELAY_SECONDS = 0.1
# The same for child calls: a chain waits once for each of its calls.
CHILD_TARGET_QUEUE_DELAY_SECONDS = 0.015
TARGET_QUEUE_CALLS_MIN = 3.0
QUEUE_DELAY_MAX_SECONDS = 0.5
# The admitted rate is set so that the queue would reach its target in this time.
QUEUE_CORRECTION_SECONDS = 0.25
# While a backlog is reduced, calls are still admitted at this share of the rate of starts.
BACKLOG_ADMISSION_SHARE = 0.5
# Bounds on how long a queue has to stay above its target before its rank is shed.
OVERLOAD_SECONDS_MIN = 0.2
OVERLOAD_SECONDS_MAX = 0.5
RATE_SMOOTHING_FACTOR = 0.2
FRACTION_MIN = 0.01
# Bounds on the factor by which the fraction changes in an interval, and the factor for an idle
# upstream.
DECREASE_FACTOR_MIN = 0.8
INCREASE_FACTOR_MAX = 1.2
IDLE_INCREASE_FACTOR = 1.4
# Factor on the admitted fraction of child calls: they were admitted at the edge, and the services
# above them have already done work.
CHILD_CALL_FACTOR = 1.5


@dataclass(slots=True)
class RankShedder:
    """The admitted fraction of one rank and the rates that control it.

    Shedding begins when the queue has stayed above its target length for some time, so that a
    burst is queued and only a lasting overload is shed. The demand is the rate of admitted calls
    divided by the admitted fraction, both smoothed in the same way. The fraction is set so that
    the admitted rate matches the rate of starts, corrected by the distance of the queue from its
    target. ``queue_length_min`` is the shortest length of the queue in the current interval, and
    ``child_share`` the smoothed share of child calls among the admitted ones.
    """

    fraction: float = 1.0
    admitted: int = 0
    admitted_child_calls: int = 0
    child_share: float = 0.0
    started: int = 0
    queue_length_min: int = 0
    admitted_rate: float = 0.0
    started_rate: float = 0.0
    fraction_average: float = 1.0
    above_target_seconds: float = 0.0

    def update(
        self, waiting: int, has_free_slot: bool, elapsed_seconds: float, mean_service_seconds: float
    ) -> None:
        """End an interval of ``elapsed_seconds`` and adjust the fraction.

        The queue has to stay above its target for the mean service time, limited to the range from
        ``OVERLOAD_SECONDS_MIN`` to ``OVERLOAD_SECONDS_MAX``: slots that are all taken for that long
        are normal and not yet an overload.
        """
        self.admitted_rate += RATE_SMOOTHING_FACTOR * (
            self.admitted / elapsed_seconds - self.admitted_rate
        )
        self.started_rate += RATE_SMOOTHING_FACTOR * (
            self.started / elapsed_seconds - self.started_rate
        )
        self.fraction_average += RATE_SMOOTHING_FACTOR * (self.fraction - self.fraction_average)
        if self.admitted:
            child_share = self.admitted_child_calls / self.admitted
            self.child_share += RATE_SMOOTHING_FACTOR * (child_share - self.child_share)
        target_delay = (
            self.child_share * CHILD_TARGET_QUEUE_DELAY_SECONDS
            + (1.0 - self.child_share) * TARGET_QUEUE_DELAY_SECONDS
        )
        target = max(TARGET_QUEUE_CALLS_MIN, self.started_rate * target_delay)
        is_above = self.queue_length_min > target
        self.above_target_seconds = self.above_target_seconds + elapsed_seconds if is_above else 0.0
        overload_seconds = max(
            OVERLOAD_SECONDS_MIN, min(OVERLOAD_SECONDS_MAX, mean_service_seconds)
        )
        if self.fraction < 1.0 or self.above_target_seconds >= overload_seconds:
            self._adjust_fraction(waiting, target, has_free_slot and not waiting)
        self.admitted = self.admitted_child_calls = 0
        self.started = 0
        self.queue_length_min = waiting

    def _adjust_fraction(self, waiting: int, target: float, is_idle: bool) -> None:
        correction = (target - waiting) / QUEUE_CORRECTION_SECONDS
        target_rate = max(
            BACKLOG_ADMISSION_SHARE * self.started_rate, self.started_rate + correction
        )
        demand = self.admitted_rate / self.fraction_average
        factor = target_rate / demand / self.fraction if demand > 0 else INCREASE_FACTOR_MAX
        factor = min(INCREASE_FACTOR_MAX, max(DECREASE_FACTOR_MIN, factor))
        if is_idle:
            factor = IDLE_INCREASE_FACTOR
        self.fraction = min(1.0, max(FRACTION_MIN, self.fraction * factor))


class LoadShedder:
    """The shedders of all ranks, which are updated once per interval."""

    __slots__ = ("_by_rank", "_level", "_updated_at")

    def __init__(self):
        self._by_rank: dict[int, RankShedder] = {}
        self._level = AdmissionLevel()
        self._updated_at = 0.0

    @property
    def level(self) -> AdmissionLevel:
        """Return the admission level to be sent with answers."""
        return self._level

    def closed_level(self) -> AdmissionLevel:
        """Return the level of a gate that admits nothing, for the ranks that are known here."""
        return AdmissionLevel(tuple(RankFraction(rank, 0.0) for rank in sorted(self._by_rank)))

    def exceeds_max_delay(self, rank: int, waiting: int) -> bool:
        """Return whether another call of a rank that is being shed would wait too long.

        A call that waits here holds a slot at every service further up its call chain.
        """
        shedder = self._by_rank.get(rank)
        if shedder is None or shedder.fraction >= 1.0:
            return False
        waiting_max = max(TARGET_QUEUE_CALLS_MIN, shedder.started_rate * QUEUE_DELAY_MAX_SECONDS)
        return waiting >= waiting_max

    @property
    def is_shedding(self) -> bool:
        """Return whether any rank is being shed."""
        return bool(self._level.shares)

    def admits(self, rank: int, hash_value: float, depth: int) -> bool:
        """Return whether an action is admitted, given its hash from 0 to 1."""
        fraction = self._level.fraction(rank)
        return hash_value < fraction * (CHILD_CALL_FACTOR if depth else 1.0)

    def record_admitted(self, rank: int, is_child_call: bool) -> None:
        """Count a call that was admitted to the queue."""
        shedder = self._rank_shedder(rank)
        shedder.admitted += 1
        shedder.admitted_child_calls += is_child_call

    def record_started(self, rank: int, waiting: int) -> None:
        """Count a call that took a slot; ``waiting`` calls of its rank are still queued."""
        shedder = self._rank_shedder(rank)
        shedder.started += 1
        shedder.queue_length_min = min(shedder.queue_length_min, waiting)

    def update(
        self,
        waiting_count: Callable[[int], int],
        has_free_slot: bool,
        mean_service_seconds: float,
        now: float,
    ) -> None:
        """Adjust all fractions if the interval is over.

        ``waiting_count`` returns the number of waiting calls of a rank.
        """
        if now < self.next_update() - TIMER_ROUNDING_SECONDS:
            return
        elapsed_seconds = now - self._updated_at
        self._updated_at = now
        for rank, shedder in self._by_rank.items():
            shedder.update(
                waiting_count(rank), has_free_slot, elapsed_seconds, mean_service_seconds
            )
        fractions = sorted(
            (rank, shedder.fraction)
            for rank, shedder in self._by_rank.items()
            if shedder.fraction < 1.0
        )
        self._level = AdmissionLevel(tuple(RankFraction(*entry) for entry in fractions))

    def next_update(self) -> float:
        """Return the time at which the current interval ends."""
        return self._updated_at + UPDATE_INTERVAL_SECONDS

    def _rank_shedder(self, rank: int) -> RankShedder:
        shedder = self._by_rank.get(rank)
        if shedder is None:
            shedder = self._by_rank[rank] = RankShedder()
        return shedder
