"""Scenario 5: payments, reservations and dispatches against reads at twice the capacity."""

from dataclasses import dataclass, field

from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.ledger import Window
from bamboo_bench.policy.scenarios import Measurement, Scenario, ScenarioRun, register
from bamboo_bench.policy.statistics import (
    succeeded_in_time,
    success_rate,
    useful_slot_share,
    usual_rates,
    weight_share,
)

USUAL_LOAD = 0.6
OVERLOAD = 2.0
OVERLOAD_START_SECONDS = 3.0
PARTS = [Window(f"part-{start}", start, start + 2.0) for start in range(3, 23, 2)]
OVERLOADED = Window("overloaded", 3.0, 23.0)
PROTECTED_RANKS = (0, 1)
READ_RANKS = (3, 4)
SHED_AT_MOST = 0


@register
@dataclass(slots=True)
class ReadsAgainstWrites(Scenario):
    """An overload at twice the capacity, in the usual mix of kinds."""

    number: int = 5
    title: str = "payments, reservations and dispatches against reads at twice the capacity"
    seconds: float = 27.0
    windows: list[Window] = field(default_factory=lambda: [*PARTS, OVERLOADED])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Return traffic below the capacity."""
        return Traffic(usual_rates(deployment, USUAL_LOAD))

    def schedule_events(self, run: ScenarioRun) -> None:
        """Schedule the start and end of the overload."""
        overload = usual_rates(run.deployment, OVERLOAD)
        usual = usual_rates(run.deployment, USUAL_LOAD)
        clock = run.simulation.clock
        clock.call_at(OVERLOAD_START_SECONDS, setattr, run.traffic, "rate_by_kind", overload)
        clock.call_at(OVERLOADED.end, setattr, run.traffic, "rate_by_kind", usual)

    def measurements(self, run: ScenarioRun) -> list[Measurement]:
        """Measure how many protected requests failed while reads had more than their share."""
        protected_failures = sum(self._count_protected_failures(run, part) for part in PARTS)
        arrived_requests = run.ledger.requests_arrived_in(OVERLOADED)
        protected = (request for request in arrived_requests if request.rank in PROTECTED_RANKS)
        goodput = useful_slot_share(
            run.ledger, run.deployment, OVERLOADED.name, run.deployment.bottleneck_service
        )
        return [
            Measurement("protected_shed_before_reads", protected_failures, at_most=SHED_AT_MOST),
            Measurement("protected_succeeded", success_rate(protected)),
            Measurement("goodput_of_capacity", goodput),
        ]

    def _count_protected_failures(self, run: ScenarioRun, part: Window) -> int:
        service = run.deployment.bottleneck_service
        usage = run.ledger.usage(part.name, service)
        read_slot_seconds = sum(usage.useful_seconds_by_rank.get(rank, 0.0) for rank in READ_RANKS)
        capacity = run.deployment.slots(service) * part.seconds
        if read_slot_seconds / capacity <= weight_share(run.deployment, *READ_RANKS):
            return 0
        arrived_requests = run.ledger.requests_arrived_in(part)
        return sum(
            1
            for request in arrived_requests
            if request.rank in PROTECTED_RANKS and not succeeded_in_time(request)
        )
