"""Scenarios 3 and 4: the least or the most urgent rank floods at five times the usual load."""

from dataclasses import dataclass, field

from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.ledger import RequestRecord, Window
from bamboo_bench.policy.scenarios import Measurement, Scenario, ScenarioRun, register
from bamboo_bench.policy.statistics import (
    latency_quantile,
    success_rate,
    useful_slot_share,
    usual_rates,
    weight_share,
)

BEFORE = Window("before", 1.0, 11.0)
FLOOD = Window("flood", 11.0, 31.0)
LOAD = 0.6
FLOOD_FACTOR = 5.0
CLIENT_RETRIES = 1
TOP_RANKS = (0, 1)
MIDDLE_RANKS = (2, 3)
TOP_COMPLETED_AT_LEAST = 0.999
TOP_LATENCY_RATIO_AT_MOST = 1.2
MIDDLE_KEPT_AT_LEAST = 0.95
SHARE_KEPT_AT_LEAST = 0.90
GOODPUT_AT_LEAST = 0.95


def schedule_flood(run: ScenarioRun, rank: int) -> None:
    """Schedule a flood: the kind of a rank arrives at five times the rate of all kinds together."""
    usual = usual_rates(run.deployment, LOAD)
    kind = next(spec.row.kind for spec in run.deployment.kinds if spec.row.rank == rank)
    flooded = usual | {kind: FLOOD_FACTOR * sum(usual.values())}
    clock, traffic = run.simulation.clock, run.traffic
    clock.call_at(FLOOD.start, setattr, traffic, "rate_by_kind", flooded)
    clock.call_at(FLOOD.end, setattr, traffic, "rate_by_kind", usual)


def requests_of_rank(run: ScenarioRun, window: Window, rank: int) -> list[RequestRecord]:
    """Return the requests of a rank that arrived in a window."""
    return [request for request in run.ledger.requests_arrived_in(window) if request.rank == rank]


@dataclass(slots=True)
class FloodScenario(Scenario):
    """The base of both flood scenarios."""

    seconds: float = 35.0
    windows: list[Window] = field(default_factory=lambda: [BEFORE, FLOOD])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Return traffic that loads the bottleneck service to a usual level."""
        return Traffic(usual_rates(deployment, LOAD), CLIENT_RETRIES)


@register
@dataclass(slots=True)
class LeastUrgentFlood(FloodScenario):
    """A flood of the least urgent rank, which must not affect the ranks above it."""

    number: int = 3
    title: str = "flood of the least urgent at five times"

    def schedule_events(self, run: ScenarioRun) -> None:
        """Schedule the start and end of the flood."""
        schedule_flood(run, max(spec.row.rank for spec in run.deployment.kinds))

    def measurements(self, run: ScenarioRun) -> list[Measurement]:
        """Measure the success rate and latency that the other ranks keep."""
        top = [
            measurement
            for rank in TOP_RANKS
            for measurement in (
                Measurement(
                    f"rank_{rank}_completed",
                    success_rate(requests_of_rank(run, FLOOD, rank)),
                    at_least=TOP_COMPLETED_AT_LEAST,
                ),
                Measurement(
                    f"rank_{rank}_p99_ratio",
                    self._latency_ratio(run, rank),
                    at_most=TOP_LATENCY_RATIO_AT_MOST,
                ),
            )
        ]
        middle = [
            Measurement(
                f"rank_{rank}_kept", self._success_kept(run, rank), at_least=MIDDLE_KEPT_AT_LEAST
            )
            for rank in MIDDLE_RANKS
        ]
        return top + middle

    def _latency_ratio(self, run: ScenarioRun, rank: int) -> float:
        usual = latency_quantile(requests_of_rank(run, BEFORE, rank), 0.99)
        return latency_quantile(requests_of_rank(run, FLOOD, rank), 0.99) / usual

    def _success_kept(self, run: ScenarioRun, rank: int) -> float:
        usual = success_rate(requests_of_rank(run, BEFORE, rank))
        return success_rate(requests_of_rank(run, FLOOD, rank)) / usual


@register
@dataclass(slots=True)
class MostUrgentFlood(FloodScenario):
    """A flood of the most urgent rank, which must leave the others the share of their weight."""

    number: int = 4
    title: str = "flood of the most urgent at five times"

    def schedule_events(self, run: ScenarioRun) -> None:
        """Schedule the start and end of the flood."""
        schedule_flood(run, min(spec.row.rank for spec in run.deployment.kinds))

    def measurements(self, run: ScenarioRun) -> list[Measurement]:
        """Measure what every other rank keeps of its share by weight, and the goodput."""
        deployment = run.deployment
        goodput = useful_slot_share(
            run.ledger, deployment, FLOOD.name, deployment.bottleneck_service
        )
        kept = [
            Measurement(
                f"rank_{spec.row.rank}_of_share",
                self._share_kept(run, spec.row.rank),
                at_least=SHARE_KEPT_AT_LEAST,
            )
            for spec in deployment.kinds
            if spec.row.rank
        ]
        return [*kept, Measurement("goodput_of_capacity", goodput, at_least=GOODPUT_AT_LEAST)]

    def _share_kept(self, run: ScenarioRun, rank: int) -> float:
        service, deployment = run.deployment.bottleneck_service, run.deployment
        usage = run.ledger.usage(FLOOD.name, service)
        capacity = deployment.slots(service) * FLOOD.seconds
        rates = usual_rates(deployment, LOAD)
        demanded_slots = sum(
            rates[spec.row.kind] * deployment.slot_seconds_at(spec, service)
            for spec in deployment.kinds
            if spec.row.rank == rank
        )
        entitled_share = min(
            demanded_slots / deployment.slots(service), weight_share(deployment, rank)
        )
        return usage.useful_seconds_by_rank.get(rank, 0.0) / capacity / entitled_share
