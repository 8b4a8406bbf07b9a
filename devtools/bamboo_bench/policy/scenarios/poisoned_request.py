"""Scenario 9: a poisoned request is sent again every 200 ms."""

from dataclasses import dataclass, field

from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.figures import in_time, usual_rates
from bamboo_bench.policy.ledger import RequestRecord, Window
from bamboo_bench.policy.scenarios import Measure, Run, Scenario, register
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
    """Crash every upstream of one service that runs the request."""

    number: int = 9
    title: str = "a poisoned request is sent again every 200 ms"
    seconds: float = 30.0
    windows: list[Window] = field(default_factory=lambda: [POISON])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Load the contended service to a usual level."""
        return Traffic(usual_rates(deployment, LOAD), distinct_bodies=True)

    def script(self, run: Run) -> None:
        """Resend the request, which poisons the contended service."""
        run.world.poisoned_service = run.deployment.contended
        for node in run.world.nodes(run.deployment.contended):
            node.upstream.condition.restart_seconds = RESTART_SECONDS
            node.upstream.condition.cold_start_seconds = COLD_START_SECONDS
        kinds = [kind for kind in run.deployment.kinds if kind.row.effect is Effect.IDEMPOTENT]
        for number in range(int(POISON.seconds / RESEND_SECONDS)):
            due = POISON.start + number * RESEND_SECONDS
            run.world.clock.call_at(due, run.clients.send, kinds[-1].row.kind, POISON_BODY)

    def measures(self, run: Run) -> list[Measure]:
        """Count the crashes, and what succeeded while no upstream was cold."""
        crashes = [
            crash
            for node in run.world.nodes_by_instance.values()
            for crash in node.upstream.crashes
        ]
        others = [
            request for request in run.ledger.arrived_in(POISON) if request.body != POISON_BODY
        ]
        warm = [request for request in others if not _meets_cold_start(request, crashes)]
        return [
            Measure("crashes", len(crashes), at_most=CRASHES_AT_MOST),
            Measure("goodput_outside_cold_starts", _succeeded(warm), at_least=GOODPUT_AT_LEAST),
            Measure("goodput_in_all", _succeeded(others)),
        ]


def _succeeded(requests: list[RequestRecord]) -> float:
    """Return the part that succeeded, and none when every moment was a cold start."""
    return sum(map(in_time, requests)) / len(requests) if requests else 0.0


def _meets_cold_start(request: RequestRecord, crashes: list[float]) -> bool:
    cold_seconds = RESTART_SECONDS + COLD_START_SECONDS
    return any(
        request.arrived < crash + cold_seconds and crash <= request.finished for crash in crashes
    )
