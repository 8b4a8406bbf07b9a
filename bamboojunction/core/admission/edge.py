"""Refusal at the edge: the admission levels of services as one node knows them from answers."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from bamboojunction.core.load import (
    AdmissionLevel,
    LoadReport,
    RankShare,
    ServiceLevel,
    action_hash,
)
from bamboojunction.core.outcomes import NotRun, NotRunReason

# A level that is no longer confirmed by answers opens by this factor a second.
REOPENING_PER_SECOND = 2.0
LEVEL_LIFE_SECONDS = 4.0
# Sources kept of each sort for a service, the latest ones: a sample of a large service, so that the
# cost of a decision does not grow with it.
SOURCES_MAX = 8
RETRY_AFTER_SECONDS = 0.5


class _Sort(NamedTuple):
    """Say in whose answers levels came.

    ``is_direct`` marks answers of the service's own gates. ``is_below`` marks answers to the
    upstream beside this node, not to a caller that entered here.
    """

    is_direct: bool
    is_below: bool


@dataclass(slots=True, frozen=True)
class _KnownLevel:
    level: AdmissionLevel
    learned_at: float

    def fraction(self, rank: int, now: float) -> float:
        """Return the fraction of a rank that is admitted, opened by the level's age."""
        fraction = self.level.fraction(rank)
        if fraction >= 1.0:
            return 1.0
        return min(1.0, fraction * REOPENING_PER_SECOND ** (now - self.learned_at))


def _mean_fraction(known: list[_KnownLevel], rank: int, now: float) -> float:
    return sum(level.fraction(rank, now) for level in known) / len(known)


class EdgeLevels:
    """Keep the latest levels of each service, and refuse actions against them.

    Requests of one service spread over its instances, so the service admits the mean of what its
    sources admit. What the service's own gates answered is taken before what others passed on. A
    node passes on only what it learned from answers to its own upstream, so that no level goes
    round between nodes that call each other for their callers.
    """

    __slots__ = ("_below_by_instance", "_by_service")

    def __init__(self):
        # By service, sort and instance; the latest source of a sort is the last one.
        self._by_service: dict[str, dict[_Sort, dict[str, _KnownLevel]]] = {}
        self._below_by_instance: dict[tuple[str, bool], frozenset[str]] = {}

    def learn(
        self, service: str, instance: str, report: LoadReport, now: float, depth: int = 0
    ) -> None:
        """Take in the load report of an answer to a call at a depth; 0 entered at this node."""
        if not (self._by_service or report.level.shares or report.below):
            return
        is_below = depth > 0
        self._note(service, _Sort(True, is_below), instance, report.level, now)
        told = frozenset(known.service for known in report.below)
        passed_on = _Sort(False, is_below)
        for reopened in self._below_by_instance.get((instance, is_below), frozenset()) - told:
            self._by_service[reopened].get(passed_on, {}).pop(instance, None)
        self._below_by_instance[(instance, is_below)] = told
        for known in report.below:
            self._note(known.service, passed_on, instance, known.level, now)

    def refusal(self, services: Iterable[str], rank: int, action: str, now: float) -> NotRun | None:
        """Return the refusal of a new action, or None when every service admits it."""
        if not self._by_service:
            return None
        fraction = min((self.fraction(service, rank, now) for service in services), default=1.0)
        place = action_hash(action)
        if place < fraction:
            return None
        return NotRun(NotRunReason.SHED_AT_EDGE, retry_after=RETRY_AFTER_SECONDS * (0.5 + place))

    def fraction(self, service: str, rank: int, now: float) -> float:
        """Return the fraction of a rank's actions that a service admits."""
        known = self._fresh(service, now)
        if not known:
            return 1.0
        return _mean_fraction(known, rank, now)

    def export(self, services: Iterable[str], now: float) -> tuple[ServiceLevel, ...]:
        """Return the levels of those services that shed, to send with an answer."""
        if not self._by_service:
            return ()
        return tuple(
            ServiceLevel(service, level)
            for service in services
            if (level := self._level(service, now)) is not None
        )

    def _level(self, service: str, now: float) -> AdmissionLevel | None:
        known = self._fresh(service, now, only_below=True)
        ranks = sorted({share.rank for entry in known for share in entry.level.shares})
        if not ranks:
            return None
        return AdmissionLevel(
            tuple(RankShare(rank, _mean_fraction(known, rank, now)) for rank in ranks)
        )

    def _fresh(self, service: str, now: float, only_below: bool = False) -> list[_KnownLevel]:
        return self._fresh_of(service, True, now, only_below) or self._fresh_of(
            service, False, now, only_below
        )

    def _fresh_of(
        self, service: str, is_direct: bool, now: float, only_below: bool
    ) -> list[_KnownLevel]:
        by_sort = self._by_service.get(service, {})
        oldest = now - LEVEL_LIFE_SECONDS
        return [
            known
            for is_below in ((True,) if only_below else (True, False))
            for known in by_sort.get(_Sort(is_direct, is_below), {}).values()
            if known.learned_at > oldest
        ]

    def _note(
        self, service: str, sort: _Sort, instance: str, level: AdmissionLevel, now: float
    ) -> None:
        by_sort = self._by_service.get(service)
        if by_sort is None:
            # A service that sheds nothing needs no entry, so the usual case costs nothing.
            if not level.shares:
                return
            by_sort = self._by_service[service] = {}
        by_instance = by_sort.setdefault(sort, {})
        by_instance.pop(instance, None)
        if len(by_instance) >= SOURCES_MAX:
            del by_instance[next(iter(by_instance))]
        by_instance[instance] = _KnownLevel(level, now)
