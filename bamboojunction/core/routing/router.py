"""The choice of the upstream instance that serves an attempt."""

import random
from dataclasses import dataclass

from bamboojunction.core.load import LoadReport
from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Ran
from bamboojunction.core.poison.quarantine import quarantine_instance
from bamboojunction.core.routing.ejection import (
    SERVER_ERROR_STATUS,
    Evidence,
    Standing,
    evidence_of,
)
from bamboojunction.core.routing.spill import spills
from bamboojunction.core.routing.upstreams import KnownUpstream, RandomList, ServiceUpstreams

# Upstreams that are compared for one attempt in each of near and far.
SAMPLE_SIZE = 4
NO_UPSTREAM_RETRY_AFTER_SECONDS = 0.2
# How long ejected upstreams wait for a call that may be lost before others probe them too.
PROBE_PATIENCE_SECONDS = 5.0


@dataclass(slots=True, frozen=True)
class RouteRequest:
    """Describe an attempt that needs an upstream; ``excluded`` names instances already tried.

    ``idempotent`` calls may test upstreams that were ejected. ``suspect`` is the fingerprint of a
    call that was in flight at a crash, or None. ``only_untried`` refuses rather than choose an
    excluded instance. ``aim`` is the time in seconds within which an answer is as good as an
    earlier one, 0 when the earliest is wanted.
    """

    service: str
    kind: str
    rank: int
    action: str
    deadline: float
    depth: int = 0
    excluded: frozenset[str] = frozenset()
    idempotent: bool = True
    suspect: int | None = None
    only_untried: bool = False
    aim: float = 0.0


@dataclass(slots=True, frozen=True)
class Chosen:
    """Name the instance to send the attempt to."""

    instance: str


@dataclass(slots=True, frozen=True)
class AttemptEnd:
    """Report how an attempt ended, as the router saw it.

    ``report`` is None when no answer came. ``service_seconds`` is the upstream's execution time as
    its gate measured it, 0 when nothing ran; ``elapsed`` is the whole attempt in seconds.
    """

    instance: str
    kind: str
    outcome: Outcome
    report: LoadReport | None
    service_seconds: float
    elapsed: float


class Router:
    """Choose an instance for each attempt and learn from the answers.

    The driver calls ``choose``, then ``sent`` when the attempt leaves and ``ended`` once for each
    attempt sent.
    """

    __slots__ = (
        "_by_service",
        "_data_centre",
        "_random",
        "_region",
        "_sample_size",
        "_service_by_instance",
    )

    def __init__(
        self,
        data_centre: str,
        region: str = "",
        rng: random.Random | None = None,
        sample_size: int = SAMPLE_SIZE,
    ):
        self._data_centre = data_centre
        self._region = region
        self._random = rng or random.Random()
        self._sample_size = sample_size
        self._by_service: dict[str, ServiceUpstreams] = {}
        self._service_by_instance: dict[str, str] = {}

    @classmethod
    def from_config(cls, node_settings) -> "Router":
        """Create the router of a node."""
        return cls(node_settings.data_centre, node_settings.region)

    def update(self, service: str, instances: list[Announcement]) -> None:
        """Replace the instances of a service that take new work."""
        upstreams = self._by_service.setdefault(service, ServiceUpstreams())
        gone = upstreams.by_instance.keys() - {entry.instance for entry in instances}
        for instance in gone:
            self._service_by_instance.pop(instance, None)
        upstreams.update(instances, self._data_centre, self._region)
        self._service_by_instance.update((entry.instance, service) for entry in instances)

    def choose(self, request: RouteRequest, now: float) -> Chosen | NotRun:
        """Choose an instance, or refuse the attempt before it leaves."""
        upstreams = self._by_service.get(request.service)
        if upstreams is None or not upstreams.by_instance:
            return self._no_upstream()
        if request.suspect is not None:
            return self._quarantined(upstreams, request)
        if upstreams.out and (probe := self._probe(upstreams, request, now)):
            return Chosen(probe.announcement.instance)
        chosen = self._nearest_best(upstreams, request, now) or self._last_resort(
            upstreams, request, now
        )
        if chosen is None:
            return self._no_upstream()
        return Chosen(chosen.announcement.instance)

    def sent(self, instance: str, kind: str, now: float) -> None:
        """Record that an attempt left for an instance."""
        upstream = self._known(instance)
        if upstream is None:
            return
        upstream.health.sent(upstream.estimates.in_flight == 0, now)
        upstream.estimates.sent()

    def ended(self, end: AttemptEnd, now: float) -> None:
        """Learn from the end of an attempt."""
        service = self._service_by_instance.get(end.instance)
        if service is None:
            return
        upstreams = self._by_service[service]
        upstream = upstreams.by_instance[end.instance]
        upstream.estimates.ended()
        evidence = evidence_of(end.outcome)
        self._learn_times(upstream, end, evidence, now)
        if end.report is not None:
            upstream.estimates.reported(end.report, now)
        upstream.health.observe(evidence, upstreams.may_eject_faulty(), now)
        if end.report is not None and end.report.draining:
            upstream.health.standing = Standing.LEAVING
        upstreams.place(upstream)

    def _learn_times(
        self, upstream: KnownUpstream, end: AttemptEnd, evidence: Evidence, now: float
    ) -> None:
        """Learn from successes and timeouts only, lest fast failures attract calls."""
        if evidence is Evidence.TIMED_OUT:
            upstream.estimates.timed_out(end.kind, end.elapsed, now)
        elif isinstance(end.outcome, Ran) and end.outcome.status < SERVER_ERROR_STATUS:
            upstream.estimates.measured(end.kind, end.service_seconds, end.elapsed, now)

    def _known(self, instance: str) -> KnownUpstream | None:
        service = self._service_by_instance.get(instance)
        return None if service is None else self._by_service[service].by_instance[instance]

    def _quarantined(self, upstreams: ServiceUpstreams, request: RouteRequest) -> Chosen:
        """Send a suspect to the one instance that may run it, as far as this node knows."""
        instances = upstreams.by_instance
        return Chosen(quarantine_instance(request.suspect, instances, request.excluded))

    def _probe(
        self, upstreams: ServiceUpstreams, request: RouteRequest, now: float
    ) -> KnownUpstream | None:
        patience = 0.0 if request.idempotent else PROBE_PATIENCE_SECONDS
        probe = upstreams.due_probe(now - patience)
        if probe is None or probe.announcement.instance in request.excluded:
            return None
        return probe

    def _nearest_best(
        self, upstreams: ServiceUpstreams, request: RouteRequest, now: float
    ) -> KnownUpstream | None:
        near, near_seconds = self._best(upstreams, upstreams.near, request, now)
        if not upstreams.far.entries:
            return near
        far, far_seconds = self._best(upstreams, upstreams.far, request, now)
        if near is None or (far is not None and spills(near_seconds, far_seconds, request.aim)):
            return far
        return near

    def _best(
        self,
        upstreams: ServiceUpstreams,
        candidates: RandomList,
        request: RouteRequest,
        now: float,
    ) -> tuple[KnownUpstream | None, float]:
        """Return the least expected completion among a sample of the candidates."""
        best = None
        best_seconds = float("inf")
        for upstream in candidates.draw(self._sample_size, self._random):
            if upstream.announcement.instance in request.excluded:
                continue
            pressure = upstream.estimates.pressure(now)
            if not self._takes_calls(upstreams, upstream, pressure, now):
                continue
            seconds = upstream.estimates.completion_seconds(request.kind, pressure, now)
            if seconds < best_seconds:
                best = upstream
                best_seconds = seconds
        return best, best_seconds

    def _takes_calls(
        self, upstreams: ServiceUpstreams, upstream: KnownUpstream, pressure: float, now: float
    ) -> bool:
        estimates = upstream.estimates
        if not estimates.answered:
            # One call at a time until the first answer, so that a cold upstream is not flooded.
            return estimates.in_flight == 0
        expected = estimates.times.overall.mean * (1.0 + pressure)
        if upstream.health.silent(estimates.in_flight, expected, now):
            upstream.health.eject(now, by_silence=True)
            upstreams.place(upstream)
            return False
        share = upstream.health.share(now)
        return share >= 1.0 or self._random.random() < share

    def _last_resort(
        self, upstreams: ServiceUpstreams, request: RouteRequest, now: float
    ) -> KnownUpstream | None:
        """Choose among all that are not leaving: when none is well, ejection means nothing.

        Instances that were tried already come last, when there is no other.
        """
        staying = [
            upstream
            for upstream in upstreams.by_instance.values()
            if upstream.health.standing is not Standing.LEAVING
        ]
        fresh = [
            upstream
            for upstream in staying
            if upstream.announcement.instance not in request.excluded
        ]
        candidates = fresh if request.only_untried else fresh or staying
        if not candidates:
            return None
        sample = self._random.sample(candidates, min(self._sample_size, len(candidates)))
        return min(
            sample,
            key=lambda upstream: (
                upstream.health.standing is Standing.EJECTED,
                not upstream.near,
                upstream.estimates.in_flight,
            ),
        )

    def _no_upstream(self) -> NotRun:
        retry_after = self._jittered(NO_UPSTREAM_RETRY_AFTER_SECONDS)
        return NotRun(NotRunReason.NO_UPSTREAM, retry_after)

    def _jittered(self, seconds: float) -> float:
        return seconds * self._random.uniform(0.75, 1.5)
