"""Scenario 8: one upstream's load report lies, always idle or always full."""

from dataclasses import dataclass, field

from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.figures import success_rate, usual_rates
from bamboo_bench.policy.ledger import Window
from bamboo_bench.policy.policies import Policy
from bamboo_bench.policy.scenarios import Measurement, Scenario, ScenarioRun, register

WHOLE = Window("whole", 1.0, 11.0)
LOAD = 0.85
FALSE_REPORTS = ("idle", "full")
KEPT_AT_LEAST = 0.95


@register
@dataclass(slots=True)
class FalseLoadReport(Scenario):
    """Compare goodput under each lie with goodput under honest reports."""

    number: int = 8
    title: str = "one upstream's load report lies, always idle or always full"
    seconds: float = 14.0
    windows: list[Window] = field(default_factory=lambda: [WHOLE])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Load the contended service near its capacity, so that a wrong choice costs."""
        return Traffic(usual_rates(deployment, LOAD))

    def schedule_events(self, run: ScenarioRun) -> None:
        """Leave the honest run alone."""

    def simulate(self, deployment: Deployment, policy: Policy, seed: int) -> ScenarioRun:
        """Run once with honest reports and once with each lie."""
        honest = Scenario.simulate(self, deployment, policy, seed)
        for false_report in FALSE_REPORTS:
            honest.comparison_runs[false_report] = FalseReportScenario(
                false_report=false_report
            ).simulate(deployment, policy, seed)
        return honest

    def measurements(self, run: ScenarioRun) -> list[Measurement]:
        """Measure what is kept of the honest goodput."""
        honest = success_rate(run.ledger.requests_arrived_in(WHOLE))
        return [
            Measurement(
                f"goodput_kept_always_{false_report}",
                success_rate(comparison_run.ledger.requests_arrived_in(WHOLE)) / honest,
                at_least=KEPT_AT_LEAST,
            )
            for false_report, comparison_run in run.comparison_runs.items()
        ]


@dataclass(slots=True)
class FalseReportScenario(Scenario):
    """Run the same traffic while one upstream lies."""

    false_report: str = ""
    seconds: float = 14.0
    windows: list[Window] = field(default_factory=lambda: [WHOLE])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Load the contended service near its capacity."""
        return Traffic(usual_rates(deployment, LOAD))

    def schedule_events(self, run: ScenarioRun) -> None:
        """Let the first upstream of the contended service lie from the start."""
        run.simulation.nodes(run.deployment.bottleneck_service)[
            0
        ].upstream.condition.false_report = self.false_report
