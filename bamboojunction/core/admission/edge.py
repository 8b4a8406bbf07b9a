"""Load shedding at the edge, by the admission levels that answers have reported.

Load pattern: a service at the end of call chains can take only a part of them, in a fleet in which
each node gets few answers a second. What a node knows is then always some time old, and it has to
act on it until the next answer is due, or all chains are let in and fail below their entry.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from bamboojunction.core.load_reports import (
    AdmissionLevel,
    LoadReport,
    RankFraction,
    ServiceAdmissionLevel,
    action_hash,
)
from bamboojunction.core.outcomes import NotRun, NotRunReason

# An admitted fraction that no answer confirms grows by this factor per second, once the next answer
# from each of the known instances is overdue.
FRACTION_GROWTH_PER_SECOND = 2.0
LEVEL_TTL_SECONDS = 4.0
HOLD_SECONDS_MAX = 1.5
INTERVAL_SMOOTHING_FACTOR = 0.2
# The fraction admitted while all known gates of a service admit nothing; these actions find out
# when that ends.
PROBE_FRACTION = 0.02
# For each service and source only the instances that reported last are kept, so that the cost of a
# decision does not grow with the size of the service.
INSTANCES_PER_SOURCE_MAX = 8
# Mean retry-after of a refused call, divided by the admitted fraction: the less is admitted, the
# more of those that return would be refused again. The hash of the action spreads it from 0.5 to
# 1.5 times the mean. Smaller fractions than the minimum do not prolong it.
RETRY_AFTER_SECONDS = 0.5
RETRY_FRACTION_MIN = 0.25


class _Source(NamedTuple):
    """The origin of a level: whose gate reported it, and in the answer to which call.

    ``is_direct`` is set if a gate of the service itself answered, and unset if the gate of another
    service relayed the level. ``is_child_call`` is set if the answer was to a call made by the
    upstream of this node, and unset if it was to a call that entered the mesh at this node.
    """

    is_direct: bool
    is_child_call: bool


@dataclass(slots=True, frozen=True)
class _KnownLevel:
    level: AdmissionLevel
    learned_at: float

    held_until: float

    def fraction(self, rank: int, now: float) -> float:
        """Return the admitted fraction of a rank, which grows once the level is overdue."""
        fraction = self.level.fraction(rank)
        if fraction >= 1.0:
            return 1.0
        fraction = fraction or PROBE_FRACTION
        overdue_seconds = max(0.0, now - self.held_until)
        return min(1.0, fraction * FRACTION_GROWTH_PER_SECOND**overdue_seconds)


class _SourceLevels:
    """The latest levels of a service from one source, and how often reports arrive."""

    __slots__ = ("_mean_interval", "_reported_at", "by_instance")

    def __init__(self):
        # The instance that reported last is at the end.
        self.by_instance: dict[str, _KnownLevel] = {}
        self._mean_interval: float | None = None
        self._reported_at: float | None = None

    def store(self, instance: str, level: AdmissionLevel, now: float) -> None:
        """Store the level in a report of an instance."""
        self._record_interval(now)
        self.by_instance.pop(instance, None)
        if len(self.by_instance) >= INSTANCES_PER_SOURCE_MAX:
            del self.by_instance[next(iter(self.by_instance))]
        # Each instance's turn comes once in as many reports as there are instances.
        hold_seconds = (self._mean_interval or 0.0) * (len(self.by_instance) + 1)
        held_until = now + min(HOLD_SECONDS_MAX, hold_seconds)
        self.by_instance[instance] = _KnownLevel(level, now, held_until)

    def _record_interval(self, now: float) -> None:
        if self._reported_at is not None:
            interval = now - self._reported_at
            if self._mean_interval is None:
                self._mean_interval = interval
            self._mean_interval += INTERVAL_SMOOTHING_FACTOR * (interval - self._mean_interval)
        self._reported_at = now


def _mean_fraction(levels: list[_KnownLevel], rank: int, now: float) -> float:
    """Return the mean over the gates that admit calls, as routers avoid those that admit none."""
    admitting = [entry for entry in levels if not entry.level.is_closed] or levels
    return sum(entry.fraction(rank, now) for entry in admitting) / len(admitting)


class EdgeShedder:
    """Sheds new actions at the edge by the latest admission levels of each service.

    The requests to a service are spread over its instances, so its admitted fraction is the mean
    over the instances that reported. Levels from the service's own gates take precedence over
    relayed ones. A node relays only levels from the answers to its own upstream's calls, so that
    nodes that send requests to each other do not relay the same level in a loop.
    """

    __slots__ = ("_by_service", "_relayed_services")

    def __init__(self):
        self._by_service: dict[str, dict[_Source, _SourceLevels]] = {}
        self._relayed_services: dict[tuple[str, bool], frozenset[str]] = {}

    def record_report(
        self, service: str, instance: str, report: LoadReport, now: float, depth: int = 0
    ) -> None:
        """Record the load report of an answer; a call of depth 0 entered the mesh at this node."""
        if not (self._by_service or report.level.shares or report.below):
            # No service is known to shed load, and this report names none.
            return
        is_child_call = depth > 0
        self._store_level(service, _Source(True, is_child_call), instance, report.level, now)
        listed = frozenset(entry.service for entry in report.below)
        relayed = _Source(False, is_child_call)
        for unlisted in self._relayed_services.get((instance, is_child_call), frozenset()) - listed:
            known = self._by_service.get(unlisted, {}).get(relayed)
            if known is not None:
                known.by_instance.pop(instance, None)
        self._relayed_services[(instance, is_child_call)] = listed
        for entry in report.below:
            self._store_level(entry.service, relayed, instance, entry.level, now)

    def check(self, services: Iterable[str], rank: int, action: str, now: float) -> NotRun | None:
        """Return the refusal of a new action, or None if every service admits it."""
        if not self._by_service:
            return None
        fraction = min((self.fraction(service, rank, now) for service in services), default=1.0)
        hash_value = action_hash(action)
        if hash_value < fraction:
            return None
        mean_seconds = RETRY_AFTER_SECONDS / max(RETRY_FRACTION_MIN, fraction)
        retry_after = mean_seconds * (0.5 + hash_value)
        return NotRun(NotRunReason.SHED_AT_EDGE, retry_after=retry_after)

    def fraction(self, service: str, rank: int, now: float) -> float:
        """Return the fraction of the actions of a rank that a service admits."""
        levels = self._unexpired_levels(service, now)
        if not levels:
            return 1.0
        return _mean_fraction(levels, rank, now)

    def levels_to_relay(
        self, services: Iterable[str], now: float
    ) -> tuple[ServiceAdmissionLevel, ...]:
        """Return the levels of the given services that shed load, to be sent with an answer."""
        if not self._by_service:
            return ()
        return tuple(
            ServiceAdmissionLevel(service, level)
            for service in services
            if (level := self._relayed_level(service, now)) is not None
        )

    def _relayed_level(self, service: str, now: float) -> AdmissionLevel | None:
        levels = self._unexpired_levels(service, now, only_child_calls=True)
        ranks = sorted({share.rank for entry in levels for share in entry.level.shares})
        if not ranks:
            return None
        return AdmissionLevel(
            tuple(RankFraction(rank, _mean_fraction(levels, rank, now)) for rank in ranks)
        )

    def _unexpired_levels(
        self, service: str, now: float, only_child_calls: bool = False
    ) -> list[_KnownLevel]:
        return self._unexpired_from(service, True, now, only_child_calls) or self._unexpired_from(
            service, False, now, only_child_calls
        )

    def _unexpired_from(
        self, service: str, is_direct: bool, now: float, only_child_calls: bool
    ) -> list[_KnownLevel]:
        by_source = self._by_service.get(service, {})
        learned_after = now - LEVEL_TTL_SECONDS
        return [
            entry
            for is_child_call in ((True,) if only_child_calls else (True, False))
            if (known := by_source.get(_Source(is_direct, is_child_call))) is not None
            for entry in known.by_instance.values()
            if entry.learned_at > learned_after
        ]

    def _store_level(
        self, service: str, source: _Source, instance: str, level: AdmissionLevel, now: float
    ) -> None:
        by_source = self._by_service.get(service)
        if by_source is None:
            # Services that shed nothing are not stored, which keeps the common case cheap.
            if not level.shares:
                return
            by_source = self._by_service[service] = {}
        if source not in by_source:
            by_source[source] = _SourceLevels()
        by_source[source].store(instance, level, now)
