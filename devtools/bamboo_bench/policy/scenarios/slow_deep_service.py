"""Scenario 1: a deep service slows down tenfold for 20 s while clients retry aggressively."""

from dataclasses import dataclass, field

from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.ledger import Window
from bamboo_bench.policy.scenarios import Measurement, Scenario, ScenarioRun, register
from bamboo_bench.policy.statistics import (
    recovery_seconds,
    success_rate,
    useful_slot_share,
    usual_rates,
)

BEFORE = Window("before", 1.0, 5.0)
SLOW = Window("slow", 5.0, 25.0)
AFTER = Window("after", 28.0, 32.0)
LOAD = 0.6
SLOWNESS = 10.0
CLIENT_RETRIES = 5
GOODPUT_AT_LEAST = 0.90
RECOVERY_AT_MOST_SECONDS = 3.0


@register
@dataclass(slots=True)
class SlowDeepService(Scenario):
    """A slowdown of every upstream of the bottleneck service."""

    number: int = 1
    title: str = "a deep service slows tenfold for 20 s while clients retry hard"
    seconds: float = 35.0
    windows: list[Window] = field(default_factory=lambda: [BEFORE, SLOW, AFTER])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Return a usual load on the bottleneck service, with clients that retry aggressively."""
        return Traffic(usual_rates(deployment, LOAD), CLIENT_RETRIES)

    def schedule_events(self, run: ScenarioRun) -> None:
        """Schedule the start and end of the slowdown."""
        for node in run.simulation.nodes(run.deployment.bottleneck_service):
            condition = node.upstream.condition
            run.simulation.clock.call_at(SLOW.start, setattr, condition, "slowness", SLOWNESS)
            run.simulation.clock.call_at(SLOW.end, setattr, condition, "slowness", 1.0)

    def measurements(self, run: ScenarioRun) -> list[Measurement]:
        """Measure goodput relative to the capacity of the slowed service, and the recovery."""
        goodput = useful_slot_share(
            run.ledger, run.deployment, SLOW.name, run.deployment.bottleneck_service
        )
        recovery = recovery_seconds(run.ledger, BEFORE, SLOW.end, AFTER.end)
        after = success_rate(run.ledger.requests_arrived_in(AFTER))
        return [
            Measurement("goodput_of_slowed_capacity", goodput, at_least=GOODPUT_AT_LEAST),
            Measurement("recovery_s", recovery, at_most=RECOVERY_AT_MOST_SECONDS),
            Measurement("succeeded_after", after),
        ]
