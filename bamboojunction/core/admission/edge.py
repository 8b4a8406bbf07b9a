"""Refusal at the edge: the admission levels of services as one node knows them from answers."""

from collections.abc import Iterable
from dataclasses import dataclass

from bamboojunction.core.load import (
    AdmissionLevel,
    LoadReport,
    RankShare,
    ServiceLevel,
    action_hash,
)
from bamboojunction.core.outcomes import NotRun, NotRunReason

# A level that is no longer confirmed by answers opens by this much a second.
REOPENING_PER_SECOND = 0.25
LEVEL_LIFE_SECONDS = 4.0
RETRY_AFTER_SECONDS = 0.5


@dataclass(slots=True, frozen=True)
class _KnownLevel:
    level: AdmissionLevel
    learned_at: float

    def fraction(self, rank: int, now: float) -> float:
        """Return the fraction of a rank that is admitted, opened by the level's age."""
        age = now - self.learned_at
        return min(1.0, self.level.fraction(rank) + age * REOPENING_PER_SECOND)


def _mean_fraction(known: list[_KnownLevel], rank: int, now: float) -> float:
    return sum(level.fraction(rank, now) for level in known) / len(known)


class EdgeLevels:
    """Keep the latest level from each source for each service, and refuse actions against them.

    A source is the instance whose answer carried the level. Requests of one service spread over
    its instances, so the service admits the mean of what its sources admit.
    """

    __slots__ = ("_below_by_instance", "_by_service")

    def __init__(self):
        self._by_service: dict[str, dict[str, _KnownLevel]] = {}
        self._below_by_instance: dict[str, frozenset[str]] = {}

    def learn(self, service: str, instance: str, report: LoadReport, now: float) -> None:
        """Take in the load report of an answer."""
        self._note(service, instance, report.level, now)
        told = frozenset(known.service for known in report.below)
        for reopened in self._below_by_instance.get(instance, frozenset()) - told:
            self._by_service[reopened].pop(instance, None)
        if told or instance in self._below_by_instance:
            self._below_by_instance[instance] = told
        for known in report.below:
            self._note(known.service, instance, known.level, now)

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
        known = self._fresh(service, now)
        ranks = sorted({share.rank for entry in known for share in entry.level.shares})
        if not ranks:
            return None
        return AdmissionLevel(
            tuple(RankShare(rank, _mean_fraction(known, rank, now)) for rank in ranks)
        )

    def _fresh(self, service: str, now: float) -> list[_KnownLevel]:
        by_source = self._by_service.get(service)
        if not by_source:
            return []
        oldest = now - LEVEL_LIFE_SECONDS
        return [known for known in by_source.values() if known.learned_at > oldest]

    def _note(self, service: str, source: str, level: AdmissionLevel, now: float) -> None:
        by_source = self._by_service.get(service)
        if by_source is None:
            # A service that sheds nothing needs no entry, so the usual case costs nothing.
            if not level.shares:
                return
            by_source = self._by_service[service] = {}
        by_source[source] = _KnownLevel(level, now)
