"""Scenario 2: demand surges to three times the usual for 30 s while clients retry."""

from dataclasses import dataclass, field

from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.figures import (
    recovery_seconds,
    succeeded_share,
    useful_share,
    usual_rates,
    wasted_share,
)
from bamboo_bench.policy.ledger import Window
from bamboo_bench.policy.scenarios import Measure, Run, Scenario, register

BEFORE = Window("before", 1.0, 5.0)
SURGE = Window("surge", 5.0, 35.0)
PART_SECONDS = 5.0
PARTS = [
    Window(f"part-{number}", SURGE.start + number * PART_SECONDS, SURGE.start + end * PART_SECONDS)
    for number, end in ((number, number + 1) for number in range(6))
]
AFTER = Window("after", 37.0, 41.0)
LOAD = 0.6
FACTOR = 3.0
CLIENT_RETRIES = 2
GOODPUT_AT_LEAST = 0.95
RECOVERY_AT_MOST_SECONDS = 2.0
WASTED_AT_MOST = 0.05


@register
@dataclass(slots=True)
class Surge(Scenario):
    """Multiply the arrivals of every kind."""

    number: int = 2
    title: str = "demand surges to three times the usual for 30 s while clients retry"
    seconds: float = 44.0
    windows: list[Window] = field(default_factory=lambda: [BEFORE, SURGE, *PARTS, AFTER])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Load the contended service to a usual level."""
        return Traffic(usual_rates(deployment, LOAD), CLIENT_RETRIES)

    def script(self, run: Run) -> None:
        """Begin and end the surge."""
        clock, traffic = run.world.clock, run.traffic
        usual = usual_rates(run.deployment, LOAD)
        surged = usual_rates(run.deployment, LOAD * FACTOR)
        clock.call_at(SURGE.start, setattr, traffic, "rate_by_kind", surged)
        clock.call_at(SURGE.end, setattr, traffic, "rate_by_kind", usual)

    def measures(self, run: Run) -> list[Measure]:
        """Measure goodput in every part of the surge, wasted work and the recovery."""
        ledger, deployment = run.ledger, run.deployment
        parts = [
            useful_share(ledger, deployment, part.name, deployment.contended) for part in PARTS
        ]
        wasted = wasted_share(ledger, deployment, SURGE.name)
        recovery = recovery_seconds(ledger, BEFORE, SURGE.end, AFTER.end)
        return [
            Measure("goodput_of_capacity_worst_5s", min(parts), at_least=GOODPUT_AT_LEAST),
            Measure("recovery_s", recovery, at_most=RECOVERY_AT_MOST_SECONDS),
            Measure("wasted_share", wasted, at_most=WASTED_AT_MOST),
            Measure("succeeded_after", succeeded_share(ledger.arrived_in(AFTER))),
        ]
