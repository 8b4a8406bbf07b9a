"""Scenario 2: demand surges to three times the usual for 30 s while clients retry."""

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
    wasted_slot_share,
)

BEFORE = Window("before", 1.0, 5.0)
SURGE = Window("surge", 5.0, 35.0)
PART_SECONDS = 5.0
PARTS = [
    Window(f"part-{number}", SURGE.start + number * PART_SECONDS, SURGE.start + end * PART_SECONDS)
    for number, end in ((number, number + 1) for number in range(6))
]
AFTER = Window("after", 37.0, 41.0)
LOAD = 0.6
SURGE_FACTOR = 3.0
CLIENT_RETRIES = 2
GOODPUT_AT_LEAST = 0.95
RECOVERY_AT_MOST_SECONDS = 2.0
WASTED_AT_MOST = 0.05


@register
@dataclass(slots=True)
class Surge(Scenario):
    """A surge in the arrivals of every kind."""

    number: int = 2
    title: str = "demand surges to three times the usual for 30 s while clients retry"
    seconds: float = 44.0
    windows: list[Window] = field(default_factory=lambda: [BEFORE, SURGE, *PARTS, AFTER])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Return traffic that loads the bottleneck service to a usual level."""
        return Traffic(usual_rates(deployment, LOAD), CLIENT_RETRIES)

    def schedule_events(self, run: ScenarioRun) -> None:
        """Schedule the start and end of the surge."""
        clock, traffic = run.simulation.clock, run.traffic
        usual = usual_rates(run.deployment, LOAD)
        surge_rates = usual_rates(run.deployment, LOAD * SURGE_FACTOR)
        clock.call_at(SURGE.start, setattr, traffic, "rate_by_kind", surge_rates)
        clock.call_at(SURGE.end, setattr, traffic, "rate_by_kind", usual)

    def measurements(self, run: ScenarioRun) -> list[Measurement]:
        """Measure goodput in every part of the surge, wasted work and the recovery."""
        ledger, deployment = run.ledger, run.deployment
        parts = [
            useful_slot_share(ledger, deployment, part.name, deployment.bottleneck_service)
            for part in PARTS
        ]
        wasted_share = wasted_slot_share(ledger, deployment, SURGE.name)
        recovery = recovery_seconds(ledger, BEFORE, SURGE.end, AFTER.end)
        return [
            Measurement("goodput_of_capacity_worst_5s", min(parts), at_least=GOODPUT_AT_LEAST),
            Measurement("recovery_s", recovery, at_most=RECOVERY_AT_MOST_SECONDS),
            Measurement("wasted_share", wasted_share, at_most=WASTED_AT_MOST),
            Measurement("succeeded_after", success_rate(ledger.requests_arrived_in(AFTER))),
        ]
