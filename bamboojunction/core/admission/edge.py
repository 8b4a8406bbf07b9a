"""Refusal at the edge: the admission levels of services as one node knows them from answers."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

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
RETRY_AFTER_SECONDS = 0.5


@dataclass(slots=True, frozen=True)
class _Source:
    """Name whose answer carried a level.

    ``is_direct`` marks an answer of the service's own gate. ``is_below`` marks an answer to the
    upstream beside this node, not to a caller that entered here.
    """

    instance: str
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
    """Keep the latest level from each source for each service, and refuse actions against them.

    Requests of one service spread over its instances, so the service admits the mean of what its
    sources admit. What the service's own gates answered is taken before what others passed on. A
    node passes on only what it learned from answers to its own upstream, so that no level goes
    round between nodes that call each other for their callers.
    """

    __slots__ = ("_below_by_instance", "_by_service")

    def __init__(self):
        self._by_service: dict[str, dict[_Source, _KnownLevel]] = {}
        self._below_by_instance: dict[tuple[str, bool], frozenset[str]] = {}

    def learn(
        self, service: str, instance: str, report: LoadReport, now: float, depth: int = 0
    ) -> None:
        """Take in the load report of an answer to a call at a depth; 0 entered at this node."""
        if not (self._by_service or report.level.shares or report.below):
            return
        is_below = depth > 0
        self._note(service, _Source(instance, True, is_below), report.level, now)
        told = frozenset(known.service for known in report.below)
        passed_on = _Source(instance, False, is_below)
        for reopened in self._below_by_instance.get((instance, is_below), frozenset()) - told:
            self._by_service[reopened].pop(passed_on, None)
        self._below_by_instance[(instance, is_below)] = told
        for known in report.below:
            self._note(known.service, passed_on, known.level, now)

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
        entries = list(self._fresh_entries(service, now, only_below))
        direct = [known for source, known in entries if source.is_direct]
        return direct or [known for _, known in entries]

    def _fresh_entries(
        self, service: str, now: float, only_below: bool
    ) -> Iterator[tuple[_Source, _KnownLevel]]:
        oldest = now - LEVEL_LIFE_SECONDS
        for source, known in self._by_service.get(service, {}).items():
            if known.learned_at > oldest and (source.is_below or not only_below):
                yield source, known

    def _note(self, service: str, source: _Source, level: AdmissionLevel, now: float) -> None:
        by_source = self._by_service.get(service)
        if by_source is None:
            # A service that sheds nothing needs no entry, so the usual case costs nothing.
            if not level.shares:
                return
            by_source = self._by_service[service] = {}
        by_source[source] = _KnownLevel(level, now)
