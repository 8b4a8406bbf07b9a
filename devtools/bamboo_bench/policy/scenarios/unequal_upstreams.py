"""Scenario 7: upstreams of unequal speed, first for all kinds alike, then by kind."""

from dataclasses import dataclass, field, replace

from bamboo_bench.policy.baseline import RoundRobinRouter
from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.figures import latency_at, succeeded_share, usual_rates
from bamboo_bench.policy.ledger import Window
from bamboo_bench.policy.policies import POLICIES, TODAY
from bamboo_bench.policy.routers import LoadRouter
from bamboo_bench.policy.scenarios import Measure, Run, Scenario, register

ALIKE = Window("4x_apart", 5.0, 20.0)
BY_KIND = Window("by_kind", 25.0, 40.0)
CHANGE_AT = 20.0
SLOWEST = 4.0
# Parts of what the upstreams would carry at full speed: nearly all that the unequal ones carry.
LOAD_ALIKE = 0.57
LOAD_BY_KIND = 0.5

POLICIES.update(
    {
        "round-robin": replace(
            TODAY, name="round-robin", router=lambda centre, rng: RoundRobinRouter()
        ),
        "least-loaded": replace(
            TODAY, name="least-loaded", router=lambda centre, rng: LoadRouter(rng, 0)
        ),
        "two-choices": replace(
            TODAY, name="two-choices", router=lambda centre, rng: LoadRouter(rng, 2)
        ),
    }
)


@register
@dataclass(slots=True)
class UnequalUpstreams(Scenario):
    """Give the upstreams of every service unequal speeds; there is one figure per window."""

    number: int = 7
    title: str = "upstreams of unequal speed"
    seconds: float = 42.0
    policies: tuple[str, ...] = ("today", "round-robin", "least-loaded", "two-choices")
    windows: list[Window] = field(default_factory=lambda: [ALIKE, BY_KIND])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Load the contended service to most of what it can carry."""
        return Traffic(usual_rates(deployment, LOAD_ALIKE))

    def script(self, run: Run) -> None:
        """Set the speeds, and change them halfway."""
        for service in run.deployment.services:
            self._slow_alike(run, service.name)
        run.world.clock.call_at(CHANGE_AT, self._slow_by_kind, run)

    def measures(self, run: Run) -> list[Measure]:
        """Measure goodput and the slowest answers in both halves."""
        return [
            measure
            for window in (ALIKE, BY_KIND)
            for measure in (
                Measure(f"goodput_{window.name}", succeeded_share(run.ledger.arrived_in(window))),
                Measure(
                    f"p99_s_{window.name}",
                    latency_at(run.ledger.arrived_in(window), 0.99),
                    higher_is_worse=True,
                ),
            )
        ]

    def _slow_alike(self, run: Run, service: str) -> None:
        nodes = run.world.nodes(service)
        for index, node in enumerate(nodes):
            step = index / max(1, len(nodes) - 1)
            node.upstream.condition.slowness = SLOWEST**step

    def _slow_by_kind(self, run: Run) -> None:
        run.traffic.rate_by_kind = usual_rates(run.deployment, LOAD_BY_KIND)
        for service in run.deployment.services:
            for index, node in enumerate(run.world.nodes(service.name)):
                condition = node.upstream.condition
                condition.slowness = 1.0
                condition.slowness_by_kind = {
                    kind.row.kind: SLOWEST if (number + index) % 2 else 1.0
                    for number, kind in enumerate(run.deployment.kinds)
                }
