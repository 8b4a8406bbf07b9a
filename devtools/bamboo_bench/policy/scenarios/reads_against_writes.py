"""Scenario 5: payments, reservations and dispatches against reads at twice the capacity."""

from dataclasses import dataclass, field

from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.figures import (
    in_time,
    succeeded_share,
    useful_share,
    usual_rates,
    weight_share,
)
from bamboo_bench.policy.ledger import Window
from bamboo_bench.policy.scenarios import Measure, Run, Scenario, register

USUAL_LOAD = 0.6
OVERLOAD = 2.0
START_SECONDS = 3.0
PARTS = [Window(f"part-{start}", start, start + 2.0) for start in range(3, 23, 2)]
OVERLOADED = Window("overloaded", 3.0, 23.0)
PROTECTED_RANKS = (0, 1)
READ_RANKS = (3, 4)
SHED_AT_MOST = 0


@register
@dataclass(slots=True)
class ReadsAgainstWrites(Scenario):
    """Offer twice the capacity in the usual mix."""

    number: int = 5
    title: str = "payments, reservations and dispatches against reads at twice the capacity"
    seconds: float = 27.0
    windows: list[Window] = field(default_factory=lambda: [*PARTS, OVERLOADED])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Begin below the capacity."""
        return Traffic(usual_rates(deployment, USUAL_LOAD))

    def script(self, run: Run) -> None:
        """Begin and end the overload."""
        overload = usual_rates(run.deployment, OVERLOAD)
        usual = usual_rates(run.deployment, USUAL_LOAD)
        clock = run.world.clock
        clock.call_at(START_SECONDS, setattr, run.traffic, "rate_by_kind", overload)
        clock.call_at(OVERLOADED.end, setattr, run.traffic, "rate_by_kind", usual)

    def measures(self, run: Run) -> list[Measure]:
        """Count protected requests that failed while reads had more than their share."""
        shed = sum(self._shed(run, part) for part in PARTS)
        arrived = run.ledger.arrived_in(OVERLOADED)
        protected = (request for request in arrived if request.rank in PROTECTED_RANKS)
        goodput = useful_share(
            run.ledger, run.deployment, OVERLOADED.name, run.deployment.contended
        )
        return [
            Measure("protected_shed_before_reads", shed, at_most=SHED_AT_MOST),
            Measure("protected_succeeded", succeeded_share(protected)),
            Measure("goodput_of_capacity", goodput),
        ]

    def _shed(self, run: Run, part: Window) -> int:
        service = run.deployment.contended
        usage = run.ledger.usage(part.name, service)
        reads = sum(usage.useful_by_rank.get(rank, 0.0) for rank in READ_RANKS)
        capacity = run.deployment.slots(service) * part.seconds
        if reads / capacity <= weight_share(run.deployment, *READ_RANKS):
            return 0
        arrived = run.ledger.arrived_in(part)
        return sum(1 for entry in arrived if entry.rank in PROTECTED_RANKS and not in_time(entry))
