"""Scenario 8: one upstream's load report lies, always idle or always full."""

from dataclasses import dataclass, field

from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.figures import succeeded_share, usual_rates
from bamboo_bench.policy.ledger import Window
from bamboo_bench.policy.policies import Policy
from bamboo_bench.policy.scenarios import Measure, Run, Scenario, register

WHOLE = Window("whole", 1.0, 11.0)
LOAD = 0.85
LIES = ("idle", "full")
KEPT_AT_LEAST = 0.95


@register
@dataclass(slots=True)
class LyingReport(Scenario):
    """Compare goodput under each lie with goodput under honest reports."""

    number: int = 8
    title: str = "one upstream's load report lies, always idle or always full"
    seconds: float = 14.0
    windows: list[Window] = field(default_factory=lambda: [WHOLE])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Load the contended service near its capacity, so that a wrong choice costs."""
        return Traffic(usual_rates(deployment, LOAD))

    def script(self, run: Run) -> None:
        """Leave the honest run alone."""

    def play(self, deployment: Deployment, policy: Policy, seed: int) -> Run:
        """Run once with honest reports and once with each lie."""
        honest = Scenario.play(self, deployment, policy, seed)
        for lie in LIES:
            honest.companions[lie] = LyingRun(lie=lie).play(deployment, policy, seed)
        return honest

    def measures(self, run: Run) -> list[Measure]:
        """Measure what is kept of the honest goodput."""
        honest = succeeded_share(run.ledger.arrived_in(WHOLE))
        return [
            Measure(
                f"goodput_kept_always_{lie}",
                succeeded_share(companion.ledger.arrived_in(WHOLE)) / honest,
                at_least=KEPT_AT_LEAST,
            )
            for lie, companion in run.companions.items()
        ]


@dataclass(slots=True)
class LyingRun(Scenario):
    """Run the same traffic while one upstream lies."""

    lie: str = ""
    seconds: float = 14.0
    windows: list[Window] = field(default_factory=lambda: [WHOLE])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Load the contended service near its capacity."""
        return Traffic(usual_rates(deployment, LOAD))

    def script(self, run: Run) -> None:
        """Let the first upstream of the contended service lie from the start."""
        run.world.nodes(run.deployment.contended)[0].upstream.condition.report_lie = self.lie
