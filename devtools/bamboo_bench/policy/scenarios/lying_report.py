"""Scenario 8: one upstream's load report is false, always idle or always full."""

from dataclasses import dataclass, field

from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.ledger import Window
from bamboo_bench.policy.policies import Policy
from bamboo_bench.policy.scenarios import Measurement, Scenario, ScenarioRun, register
from bamboo_bench.policy.statistics import success_rate, usual_rates

MEASURED = Window("whole", 1.0, 11.0)
LOAD = 0.85
FALSE_REPORTS = ("idle", "full")
KEPT_AT_LEAST = 0.95


@register
@dataclass(slots=True)
class FalseLoadReport(Scenario):
    """A comparison of goodput under each false report with goodput under correct reports."""

    number: int = 8
    title: str = "one upstream's load report lies, always idle or always full"
    seconds: float = 14.0
    windows: list[Window] = field(default_factory=lambda: [MEASURED])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Return traffic near the capacity of the bottleneck service, so that bad routing shows."""
        return Traffic(usual_rates(deployment, LOAD))

    def schedule_events(self, run: ScenarioRun) -> None:
        """Schedule nothing, as all reports are correct in this run."""

    def simulate(self, deployment: Deployment, policy: Policy, seed: int) -> ScenarioRun:
        """Run once with correct reports and once with each false report."""
        correct_run = Scenario.simulate(self, deployment, policy, seed)
        for false_report in FALSE_REPORTS:
            correct_run.comparison_runs[false_report] = FalseReportScenario(
                false_report=false_report
            ).simulate(deployment, policy, seed)
        return correct_run

    def measurements(self, run: ScenarioRun) -> list[Measurement]:
        """Measure the goodput under each false report, relative to correct reports."""
        correct_success_rate = success_rate(run.ledger.requests_arrived_in(MEASURED))
        return [
            Measurement(
                f"goodput_kept_always_{false_report}",
                success_rate(comparison_run.ledger.requests_arrived_in(MEASURED))
                / correct_success_rate,
                at_least=KEPT_AT_LEAST,
            )
            for false_report, comparison_run in run.comparison_runs.items()
        ]


@dataclass(slots=True)
class FalseReportScenario(Scenario):
    """The same traffic while one upstream sends a false report."""

    false_report: str = ""
    seconds: float = 14.0
    windows: list[Window] = field(default_factory=lambda: [MEASURED])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Return traffic that loads the bottleneck service to near its capacity."""
        return Traffic(usual_rates(deployment, LOAD))

    def schedule_events(self, run: ScenarioRun) -> None:
        """Falsify the report of the first upstream of the bottleneck service from the start."""
        run.simulation.nodes(run.deployment.bottleneck_service)[
            0
        ].upstream.condition.false_report = self.false_report
