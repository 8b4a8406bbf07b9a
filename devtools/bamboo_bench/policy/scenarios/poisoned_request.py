"""Scenario 9: a poisoned request is sent again every 200 ms."""

from dataclasses import dataclass, field

from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.ledger import RequestRecord, Window
from bamboo_bench.policy.scenarios import Measurement, Scenario, ScenarioRun, register
from bamboo_bench.policy.statistics import succeeded_in_time, usual_rates
from bamboo_bench.policy.upstream import POISON_BODY
from bamboojunction.core.table.rows import Effect

POISON = Window("poison", 5.0, 25.0)
RESEND_SECONDS = 0.2
RESTART_SECONDS = 1.0
COLD_START_SECONDS = 2.0
LOAD = 0.5
CRASHES_AT_MOST = 2
GOODPUT_AT_LEAST = 0.90


@register
@dataclass(slots=True)
class PoisonedRequest(Scenario):
    """A request that crashes every upstream of the bottleneck service that runs it."""

    number: int = 9
    title: str = "a poisoned request is sent again every 200 ms"
    seconds: float = 30.0
    windows: list[Window] = field(default_factory=lambda: [POISON])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Return a usual load on the bottleneck service, with distinct request bodies."""
        return Traffic(usual_rates(deployment, LOAD), distinct_bodies=True)

    def schedule_events(self, run: ScenarioRun) -> None:
        """Schedule the poisoned request again and again."""
        run.simulation.poisoned_service = run.deployment.bottleneck_service
        for node in run.simulation.nodes(run.deployment.bottleneck_service):
            node.upstream.condition.restart_seconds = RESTART_SECONDS
            node.upstream.condition.cold_start_seconds = COLD_START_SECONDS
        idempotent_specs = [
            spec for spec in run.deployment.kinds if spec.row.effect is Effect.IDEMPOTENT
        ]
        for number in range(int(POISON.seconds / RESEND_SECONDS)):
            due_at = POISON.start + number * RESEND_SECONDS
            run.simulation.clock.call_at(
                due_at, run.clients.send, idempotent_specs[-1].row.kind, POISON_BODY
            )

    def measurements(self, run: ScenarioRun) -> list[Measurement]:
        """Measure the crashes, and the goodput with and without cold starts."""
        crash_times = [
            crash_time
            for node in run.simulation.nodes_by_instance.values()
            for crash_time in node.upstream.crash_times
        ]
        other_requests = [
            request
            for request in run.ledger.requests_arrived_in(POISON)
            if request.body != POISON_BODY
        ]
        warm_requests = [
            request for request in other_requests if not _overlaps_cold_start(request, crash_times)
        ]
        return [
            Measurement("crashes", len(crash_times), at_most=CRASHES_AT_MOST),
            Measurement(
                "goodput_outside_cold_starts",
                _success_rate_or_zero(warm_requests),
                at_least=GOODPUT_AT_LEAST,
            ),
            Measurement("goodput_in_all", _success_rate_or_zero(other_requests)),
        ]


def _success_rate_or_zero(requests: list[RequestRecord]) -> float:
    """Return the fraction of requests that succeeded in time.

    It is 0 if there are none, as then an upstream was cold at every moment.
    """
    return sum(map(succeeded_in_time, requests)) / len(requests) if requests else 0.0


def _overlaps_cold_start(request: RequestRecord, crash_times: list[float]) -> bool:
    cold_seconds = RESTART_SECONDS + COLD_START_SECONDS
    return any(
        request.arrived_at < crash_time + cold_seconds and crash_time <= request.finished_at
        for crash_time in crash_times
    )
