"""Scenarios 3 and 4: floods of the least urgent and of the most urgent work at five times."""

from dataclasses import dataclass, field

from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.figures import (
    latency_at,
    succeeded_share,
    useful_share,
    usual_rates,
    weight_share,
)
from bamboo_bench.policy.ledger import RequestRecord, Window
from bamboo_bench.policy.scenarios import Measure, Run, Scenario, register

BEFORE = Window("before", 1.0, 11.0)
FLOOD = Window("flood", 11.0, 31.0)
LOAD = 0.6
FACTOR = 5.0
CLIENT_RETRIES = 1
TOP_RANKS = (0, 1)
MIDDLE_RANKS = (2, 3)
TOP_COMPLETED_AT_LEAST = 0.999
TOP_LATENCY_RATIO_AT_MOST = 1.2
MIDDLE_KEPT_AT_LEAST = 0.95
SHARE_KEPT_AT_LEAST = 0.90
GOODPUT_AT_LEAST = 0.95


def start_flood(run: Run, rank: int) -> None:
    """Let one rank's kind arrive at several times the whole usual traffic for a while."""
    usual = usual_rates(run.deployment, LOAD)
    kind = next(kind.row.kind for kind in run.deployment.kinds if kind.row.rank == rank)
    flooded = usual | {kind: FACTOR * sum(usual.values())}
    clock, traffic = run.world.clock, run.traffic
    clock.call_at(FLOOD.start, setattr, traffic, "rate_by_kind", flooded)
    clock.call_at(FLOOD.end, setattr, traffic, "rate_by_kind", usual)


def of_rank(run: Run, window: Window, rank: int) -> list[RequestRecord]:
    """Return the requests of a rank that arrived in a window."""
    return [request for request in run.ledger.arrived_in(window) if request.rank == rank]


@dataclass(slots=True)
class Flood(Scenario):
    """Be the base of both floods."""

    seconds: float = 35.0
    windows: list[Window] = field(default_factory=lambda: [BEFORE, FLOOD])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Load the contended service to a usual level."""
        return Traffic(usual_rates(deployment, LOAD), CLIENT_RETRIES)


@register
@dataclass(slots=True)
class LeastUrgentFlood(Flood):
    """Flood the least urgent rank."""

    number: int = 3
    title: str = "flood of the least urgent at five times"

    def script(self, run: Run) -> None:
        """Begin and end the flood."""
        start_flood(run, max(kind.row.rank for kind in run.deployment.kinds))

    def measures(self, run: Run) -> list[Measure]:
        """Measure what the ranks above keep."""
        top = [
            measure
            for rank in TOP_RANKS
            for measure in (
                Measure(
                    f"rank_{rank}_completed",
                    succeeded_share(of_rank(run, FLOOD, rank)),
                    at_least=TOP_COMPLETED_AT_LEAST,
                ),
                Measure(
                    f"rank_{rank}_p99_ratio",
                    self._latency_ratio(run, rank),
                    at_most=TOP_LATENCY_RATIO_AT_MOST,
                ),
            )
        ]
        middle = [
            Measure(f"rank_{rank}_kept", self._kept(run, rank), at_least=MIDDLE_KEPT_AT_LEAST)
            for rank in MIDDLE_RANKS
        ]
        return top + middle

    def _latency_ratio(self, run: Run, rank: int) -> float:
        usual = latency_at(of_rank(run, BEFORE, rank), 0.99)
        return latency_at(of_rank(run, FLOOD, rank), 0.99) / usual

    def _kept(self, run: Run, rank: int) -> float:
        usual = succeeded_share(of_rank(run, BEFORE, rank))
        return succeeded_share(of_rank(run, FLOOD, rank)) / usual


@register
@dataclass(slots=True)
class MostUrgentFlood(Flood):
    """Flood the most urgent rank."""

    number: int = 4
    title: str = "flood of the most urgent at five times"

    def script(self, run: Run) -> None:
        """Begin and end the flood."""
        start_flood(run, min(kind.row.rank for kind in run.deployment.kinds))

    def measures(self, run: Run) -> list[Measure]:
        """Measure what every other rank keeps of its weight's share, and the goodput."""
        deployment = run.deployment
        goodput = useful_share(run.ledger, deployment, FLOOD.name, deployment.contended)
        kept = [
            Measure(
                f"rank_{kind.row.rank}_of_share",
                self._kept(run, kind.row.rank),
                at_least=SHARE_KEPT_AT_LEAST,
            )
            for kind in deployment.kinds
            if kind.row.rank
        ]
        return [*kept, Measure("goodput_of_capacity", goodput, at_least=GOODPUT_AT_LEAST)]

    def _kept(self, run: Run, rank: int) -> float:
        service, deployment = run.deployment.contended, run.deployment
        usage = run.ledger.usage(FLOOD.name, service)
        capacity = deployment.slots(service) * FLOOD.seconds
        rates = usual_rates(deployment, LOAD)
        wanted = sum(
            rates[kind.row.kind] * deployment.seconds_at(kind, service)
            for kind in deployment.kinds
            if kind.row.rank == rank
        )
        due = min(wanted / deployment.slots(service), weight_share(deployment, rank))
        return usage.useful_by_rank.get(rank, 0.0) / capacity / due
