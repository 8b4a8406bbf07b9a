"""The router, which chooses the upstream instance for each attempt."""

import random
from dataclasses import dataclass

from bamboojunction.core.load_reports import LoadReport
from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Ran
from bamboojunction.core.poison.quarantine import quarantine_instance
from bamboojunction.core.routing.ejection import (
    SERVER_ERROR_STATUS,
    HealthSignal,
    HealthState,
    health_signal,
)
from bamboojunction.core.routing.spill import should_spill_over
from bamboojunction.core.routing.upstreams import KnownUpstream, SamplingList, ServiceUpstreams

# Upstreams compared per attempt, in the local data centre and again in the remote ones.
SAMPLE_SIZE = 4
NO_UPSTREAM_RETRY_AFTER_SECONDS = 0.2
# How long a due probe is left to idempotent calls before other calls may be used for it too.
NON_IDEMPOTENT_PROBE_DELAY_SECONDS = 5.0


@dataclass(slots=True, frozen=True)
class RouteRequest:
    """An attempt that needs an upstream.

    ``tried_instances`` contains the instances that were already tried. They are used again if there
    is no other, unless ``only_untried`` is set. ``idempotent`` calls may probe ejected upstreams as
    soon as a probe is due. ``suspect_fingerprint`` is the fingerprint of a call that was in flight
    when an upstream crashed, or None. ``goal_seconds`` is the latency goal: all answers within this
    time are equally good. 0 means that there is no goal.
    """

    service: str
    kind: str
    rank: int
    action: str
    deadline: float
    depth: int = 0
    tried_instances: frozenset[str] = frozenset()
    idempotent: bool = True
    suspect_fingerprint: int | None = None
    only_untried: bool = False
    goal_seconds: float = 0.0


@dataclass(slots=True, frozen=True)
class RouteChoice:
    """The instance to which an attempt is to be sent."""

    instance: str


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How an attempt ended at the node that sent it.

    ``report`` is None if no answer was received. ``service_seconds`` is the execution time at the
    upstream as measured by its gate, or 0 if nothing ran. ``elapsed_seconds`` is the duration of
    the whole attempt in seconds.
    """

    instance: str
    kind: str
    outcome: Outcome
    report: LoadReport | None
    service_seconds: float
    elapsed_seconds: float


class Router:
    """A load balancer that sends each attempt to the instance expected to complete it first.

    Its user calls ``choose`` for an attempt, ``record_sent`` when the attempt is sent, and
    ``record_result`` once for each attempt that was sent. All times are in seconds.
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
        """Create the router of a node from its settings."""
        return cls(node_settings.data_centre, node_settings.region)

    def update_instances(self, service: str, instances: list[Announcement]) -> None:
        """Replace the list of instances of a service that accept new calls."""
        upstreams = self._by_service.setdefault(service, ServiceUpstreams())
        removed = upstreams.by_instance.keys() - {entry.instance for entry in instances}
        for instance in removed:
            self._service_by_instance.pop(instance, None)
        upstreams.update(instances, self._data_centre, self._region)
        self._service_by_instance.update((entry.instance, service) for entry in instances)

    def choose(self, request: RouteRequest, now: float) -> RouteChoice | NotRun:
        """Return the instance chosen for an attempt, or a refusal if there is none."""
        upstreams = self._by_service.get(request.service)
        if upstreams is None or not upstreams.by_instance:
            return self._refuse_no_upstream()
        if request.suspect_fingerprint is not None:
            return self._choose_quarantine(upstreams, request)
        if upstreams.unavailable and (probe := self._find_probe(upstreams, request, now)):
            return RouteChoice(probe.announcement.instance)
        chosen = self._choose_by_locality(upstreams, request, now) or self._choose_fallback(
            upstreams, request, now
        )
        if chosen is None:
            return self._refuse_no_upstream()
        return RouteChoice(chosen.announcement.instance)

    def record_sent(self, instance: str, kind: str, now: float) -> None:
        """Record that an attempt was sent to an instance."""
        upstream = self._find(instance)
        if upstream is None:
            return
        upstream.health.record_sent(upstream.estimates.in_flight == 0, now)
        upstream.estimates.record_sent()

    def record_result(self, result: AttemptResult, now: float) -> None:
        """Record the end of an attempt in the estimates and the health of its upstream."""
        service = self._service_by_instance.get(result.instance)
        if service is None:
            return
        upstreams = self._by_service[service]
        upstream = upstreams.by_instance[result.instance]
        upstream.estimates.record_end()
        signal = health_signal(result.outcome)
        self._record_times(upstream, result, signal, now)
        if result.report is not None:
            upstream.estimates.record_report(result.report, now)
        upstream.health.record_signal(signal, upstreams.may_eject_on_failures(), now)
        if result.report is not None and result.report.draining:
            upstream.health.state = HealthState.DRAINING
        upstreams.reassign(upstream)

    def _record_times(
        self, upstream: KnownUpstream, result: AttemptResult, signal: HealthSignal, now: float
    ) -> None:
        """Record the times of successes and timeouts; fast failures must not attract calls."""
        if signal is HealthSignal.TIMED_OUT:
            upstream.estimates.record_timeout(result.kind, result.elapsed_seconds, now)
        elif isinstance(result.outcome, Ran) and result.outcome.status < SERVER_ERROR_STATUS:
            upstream.estimates.record_success(
                result.kind, result.service_seconds, result.elapsed_seconds, now
            )

    def _find(self, instance: str) -> KnownUpstream | None:
        service = self._service_by_instance.get(instance)
        return None if service is None else self._by_service[service].by_instance[instance]

    def _choose_quarantine(self, upstreams: ServiceUpstreams, request: RouteRequest) -> RouteChoice:
        """Choose the one instance that, to this node's knowledge, may run the suspect call."""
        instances = upstreams.by_instance
        return RouteChoice(
            quarantine_instance(request.suspect_fingerprint, instances, request.tried_instances)
        )

    def _find_probe(
        self, upstreams: ServiceUpstreams, request: RouteRequest, now: float
    ) -> KnownUpstream | None:
        delay = 0.0 if request.idempotent else NON_IDEMPOTENT_PROBE_DELAY_SECONDS
        probe = upstreams.next_probe(now - delay)
        if probe is None or probe.announcement.instance in request.tried_instances:
            return None
        return probe

    def _choose_by_locality(
        self, upstreams: ServiceUpstreams, request: RouteRequest, now: float
    ) -> KnownUpstream | None:
        local, local_seconds = self._fastest_of_sample(upstreams, upstreams.local, request, now)
        if not upstreams.remote.entries:
            return local
        remote, remote_seconds = self._fastest_of_sample(upstreams, upstreams.remote, request, now)
        if local is None or (
            remote is not None
            and should_spill_over(local_seconds, remote_seconds, request.goal_seconds)
        ):
            return remote
        return local

    def _fastest_of_sample(
        self,
        upstreams: ServiceUpstreams,
        candidates: SamplingList,
        request: RouteRequest,
        now: float,
    ) -> tuple[KnownUpstream | None, float]:
        """Return the upstream with the earliest expected completion in a sample, and that time."""
        fastest = None
        fastest_seconds = float("inf")
        for upstream in candidates.sample(self._sample_size, self._random):
            if upstream.announcement.instance in request.tried_instances:
                continue
            utilization = upstream.estimates.utilization(now)
            if not self._accepts_call(upstreams, upstream, utilization, now):
                continue
            seconds = upstream.estimates.completion_seconds(request.kind, utilization, now)
            if seconds < fastest_seconds:
                fastest = upstream
                fastest_seconds = seconds
        return fastest, fastest_seconds

    def _accepts_call(
        self, upstreams: ServiceUpstreams, upstream: KnownUpstream, utilization: float, now: float
    ) -> bool:
        estimates = upstream.estimates
        if not estimates.has_report:
            # One call at a time until the first answer, so that a cold upstream is not overloaded.
            return estimates.in_flight == 0
        if now < estimates.closed_until:
            return False
        expected = estimates.service_times.overall.mean * (1.0 + utilization)
        if upstream.health.is_unresponsive(estimates.in_flight, expected, now):
            upstream.health.eject(now, is_unresponsive=True)
            upstreams.reassign(upstream)
            return False
        share = upstream.health.traffic_share(now)
        return share >= 1.0 or self._random.random() < share

    def _choose_fallback(
        self, upstreams: ServiceUpstreams, request: RouteRequest, now: float
    ) -> KnownUpstream | None:
        """Choose among all upstreams that are not draining, ejected ones included.

        With no healthy upstream left, ejection would only stop all calls. Instances that were
        already tried are used only if there is no other.
        """
        not_draining = [
            upstream
            for upstream in upstreams.by_instance.values()
            if upstream.health.state is not HealthState.DRAINING
        ]
        untried = [
            upstream
            for upstream in not_draining
            if upstream.announcement.instance not in request.tried_instances
        ]
        candidates = untried if request.only_untried else untried or not_draining
        if not candidates:
            return None
        sample = self._random.sample(candidates, min(self._sample_size, len(candidates)))
        return min(
            sample,
            key=lambda upstream: (
                upstream.health.state is HealthState.EJECTED,
                now < upstream.estimates.closed_until,
                not upstream.is_local,
                upstream.estimates.in_flight,
            ),
        )

    def _refuse_no_upstream(self) -> NotRun:
        retry_after = self._add_jitter(NO_UPSTREAM_RETRY_AFTER_SECONDS)
        return NotRun(NotRunReason.NO_UPSTREAM, retry_after)

    def _add_jitter(self, seconds: float) -> float:
        return seconds * self._random.uniform(0.75, 1.5)
