"""Scenario 7: upstreams of unequal speed, first for all kinds alike, then by kind."""

from dataclasses import dataclass, field, replace

from bamboo_bench.policy.baseline import RoundRobinRouter
from bamboo_bench.policy.baseline_routers import LeastLoadRouter
from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.ledger import Window
from bamboo_bench.policy.policies import POLICIES, TODAY
from bamboo_bench.policy.scenarios import Measurement, Scenario, ScenarioRun, register
from bamboo_bench.policy.statistics import latency_quantile, success_rate, usual_rates

ALL_KINDS_WINDOW = Window("4x_apart", 5.0, 20.0)
BY_KIND_WINDOW = Window("by_kind", 25.0, 40.0)
CHANGE_AT_SECONDS = 20.0
MAX_SLOWNESS = 4.0
# As fractions of the capacity at full speed; close to all that the slowed upstreams can carry.
LOAD_ALL_KINDS = 0.57
LOAD_BY_KIND = 0.5

POLICIES.update(
    {
        "round-robin": replace(
            TODAY, name="round-robin", create_router=lambda data_centre, rng: RoundRobinRouter()
        ),
        "least-loaded": replace(
            TODAY,
            name="least-loaded",
            create_router=lambda data_centre, rng: LeastLoadRouter(rng, 0),
        ),
        "two-choices": replace(
            TODAY,
            name="two-choices",
            create_router=lambda data_centre, rng: LeastLoadRouter(rng, 2),
        ),
    }
)


@register
@dataclass(slots=True)
class UnequalUpstreams(Scenario):
    """Upstreams of unequal speed in every service, first by instance, then by instance and kind."""

    number: int = 7
    title: str = "upstreams of unequal speed"
    seconds: float = 42.0
    policies: tuple[str, ...] = ("today", "round-robin", "least-loaded", "two-choices")
    windows: list[Window] = field(default_factory=lambda: [ALL_KINDS_WINDOW, BY_KIND_WINDOW])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Return traffic that uses most of the capacity of the slowed bottleneck service."""
        return Traffic(usual_rates(deployment, LOAD_ALL_KINDS))

    def schedule_events(self, run: ScenarioRun) -> None:
        """Set the speeds and schedule their change."""
        for service in run.deployment.services:
            self._slow_all_kinds(run, service.name)
        run.simulation.clock.call_at(CHANGE_AT_SECONDS, self._slow_by_kind, run)

    def measurements(self, run: ScenarioRun) -> list[Measurement]:
        """Measure goodput and the 99th percentile of latency in both windows."""
        return [
            measurement
            for window in (ALL_KINDS_WINDOW, BY_KIND_WINDOW)
            for measurement in (
                Measurement(
                    f"goodput_{window.name}", success_rate(run.ledger.requests_arrived_in(window))
                ),
                Measurement(
                    f"p99_s_{window.name}",
                    latency_quantile(run.ledger.requests_arrived_in(window), 0.99),
                    higher_is_worse=True,
                ),
            )
        ]

    def _slow_all_kinds(self, run: ScenarioRun, service: str) -> None:
        nodes = run.simulation.nodes(service)
        for index, node in enumerate(nodes):
            step = index / max(1, len(nodes) - 1)
            node.upstream.condition.slowness = MAX_SLOWNESS**step

    def _slow_by_kind(self, run: ScenarioRun) -> None:
        run.traffic.rate_by_kind = usual_rates(run.deployment, LOAD_BY_KIND)
        for service in run.deployment.services:
            for index, node in enumerate(run.simulation.nodes(service.name)):
                condition = node.upstream.condition
                condition.slowness = 1.0
                condition.slowness_by_kind = {
                    spec.row.kind: MAX_SLOWNESS if (number + index) % 2 else 1.0
                    for number, spec in enumerate(run.deployment.kinds)
                }
