"""Scenario 11: all upstreams of a service start cold at once under full demand."""

from dataclasses import dataclass, field

from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.ledger import Window
from bamboo_bench.policy.scenarios import Measurement, Scenario, ScenarioRun, register
from bamboo_bench.policy.statistics import recovery_seconds, success_rate, usual_rates
from bamboo_bench.policy.upstream import COLD_START_SECONDS

BEFORE = Window("before", 1.0, 5.0)
CRASH_AT_SECONDS = 5.0
RESTART_SECONDS = 0.5
WARM_AT_SECONDS = CRASH_AT_SECONDS + RESTART_SECONDS
AFTER = Window("after", 16.0, 20.0)
LOAD = 0.9
CLIENT_RETRIES = 2
RECOVERY_AT_MOST_COLD_STARTS = 1.5
AFTER_AT_LEAST = 0.95


@register
@dataclass(slots=True)
class ColdStart(Scenario):
    """A crash and cold start of every upstream of the bottleneck service at the same time."""

    number: int = 11
    title: str = "a whole service starts cold at once under full demand"
    seconds: float = 23.0
    windows: list[Window] = field(default_factory=lambda: [BEFORE, AFTER])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Return traffic that loads the bottleneck service to near its capacity."""
        return Traffic(usual_rates(deployment, LOAD), CLIENT_RETRIES)

    def schedule_events(self, run: ScenarioRun) -> None:
        """Schedule the crash of every upstream of the service."""
        for node in run.simulation.nodes(run.deployment.bottleneck_service):
            node.upstream.condition.restart_seconds = RESTART_SECONDS
            run.simulation.clock.call_at(CRASH_AT_SECONDS, node.upstream.crash)

    def measurements(self, run: ScenarioRun) -> list[Measurement]:
        """Measure the recovery in cold-start times, and the goodput that is left afterwards."""
        recovery = recovery_seconds(run.ledger, BEFORE, WARM_AT_SECONDS, AFTER.end)
        usual = success_rate(run.ledger.requests_arrived_in(BEFORE))
        after = success_rate(run.ledger.requests_arrived_in(AFTER)) / usual
        return [
            Measurement(
                "recovery_in_cold_starts",
                recovery / COLD_START_SECONDS,
                at_most=RECOVERY_AT_MOST_COLD_STARTS,
            ),
            Measurement("goodput_after", after, at_least=AFTER_AT_LEAST),
        ]
