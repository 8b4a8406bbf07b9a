"""The command ``bamboo-bench policy``."""

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option

from bamboo_bench.policy.admission_cost import admission_cost_lines
from bamboo_bench.policy.deployments import DEPLOYMENTS
from bamboo_bench.policy.plot import write_plot
from bamboo_bench.policy.routing_cost import router_cost_lines
from bamboo_bench.policy.runner import create_jobs, run_jobs, worst_case_lines
from bamboo_bench.policy.scenarios import load_scenarios


class PolicyCommand(Command):
    """The subcommand that runs scenarios with the current policy and with the baselines."""

    name = "policy"
    description = "Measures the overload policy in scenarios under a virtual clock"
    options = [
        option("scenario", None, "Number of a scenario (default: all)", flag=False, multiple=True),
        option("seed", None, "Run one seed", flag=False),
        option("seeds", None, "Run seeds 1 to this number", flag=False, default="10"),
        option("deployment", None, "cycle-bays, khmira or deep", flag=False, multiple=True),
        option("policy", None, "Name of a policy (default: all)", flag=False, multiple=True),
        option("json", None, "Print one JSON line for each metric"),
        option("plot", None, "Draw the first seed's goodput over time to an SVG file", flag=False),
        option("cost", None, "Measure the time of each decision instead of running scenarios"),
    ]

    def handle(self) -> int:
        """Run the selected jobs and return 1 if a target was missed."""
        if self.option("cost"):
            self.line("\n".join([*admission_cost_lines(), *router_cost_lines()]))
            return 0
        scenario_by_number = load_scenarios()
        scenarios = [int(number) for number in self.option("scenario")] or list(scenario_by_number)
        deployments = self.option("deployment") or list(DEPLOYMENTS)
        jobs = create_jobs(scenarios, deployments, self.option("policy"), self._seeds())
        if self.option("plot"):
            first_seed = [job for job in jobs if job.seed == jobs[0].seed]
            write_plot(Path(self.option("plot")), first_seed)
            return 0
        results = run_jobs(jobs)
        lines = worst_case_lines(results)
        for line in lines:
            self.line(line.to_json() if self.option("json") else line.to_text())
        missed_count = sum(1 for line in lines if line.verdict == "FAIL")
        if not self.option("json"):
            cpu_seconds = sum(result.cpu_seconds for result in results)
            self.line(
                f"{missed_count} targets missed, {len(results)} runs, {cpu_seconds:.0f} CPU s"
            )
        return 1 if missed_count else 0

    def _seeds(self) -> list[int]:
        if self.option("seed"):
            return [int(self.option("seed"))]
        return list(range(1, int(self.option("seeds")) + 1))
