"""Runs scenarios over deployments, policies and seeds, and summarises the worst seeds."""

import json
import time
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from bamboo_bench.policy.deployments import DEPLOYMENTS
from bamboo_bench.policy.policies import POLICIES
from bamboo_bench.policy.scenarios import Measurement, load_scenarios

MAX_WORKERS = 3


@dataclass(slots=True, frozen=True)
class Job:
    """One run of a scenario, by its parameters."""

    scenario: int
    deployment: str
    policy: str
    seed: int


@dataclass(slots=True, frozen=True)
class JobResult:
    """The measurements of one run and its CPU time in seconds."""

    job: Job
    measurements: list[Measurement]
    cpu_seconds: float


@dataclass(slots=True, frozen=True)
class SummaryLine:
    """One metric over all seeds, with its value at the worst seed."""

    scenario: int
    deployment: str
    policy: str
    metric: str
    worst: Measurement
    worst_seed: int
    values: list[float]

    @property
    def is_checked(self) -> bool:
        """Return whether the metric has a target that applies; baselines need not meet targets."""
        return self.worst.has_target and self.policy == "today"

    @property
    def verdict(self) -> str:
        """Return "pass" or "FAIL", or "-" if no target applies."""
        if not self.is_checked:
            return "-"
        return "pass" if self.worst.meets_target else "FAIL"

    def to_text(self) -> str:
        """Return the line as text in columns."""
        bound = ""
        if self.worst.at_least is not None:
            bound = f">= {self.worst.at_least:g}"
        elif self.worst.at_most is not None:
            bound = f"<= {self.worst.at_most:g}"
        return (
            f"{self.scenario:>2} {self.deployment:<11}{self.policy:<18}{self.metric:<34}"
            f"{self.worst.value:>9.3f} {bound:<10}{self.verdict:<5} worst seed {self.worst_seed}"
        )

    def to_json(self) -> str:
        """Return the line as a JSON object."""
        return json.dumps(
            {
                "scenario": self.scenario,
                "deployment": self.deployment,
                "policy": self.policy,
                "metric": self.metric,
                "worst": self.worst.value,
                "worst_seed": self.worst_seed,
                "at_least": self.worst.at_least,
                "at_most": self.worst.at_most,
                "verdict": self.verdict,
                "values": self.values,
            }
        )


def run_job(job: Job) -> JobResult:
    """Run one job in this process."""
    scenario = load_scenarios()[job.scenario]
    started_at = time.process_time()
    run = scenario.simulate(DEPLOYMENTS[job.deployment](), POLICIES[job.policy], job.seed)
    return JobResult(job, scenario.measurements(run), time.process_time() - started_at)


def create_jobs(
    scenarios: Iterable[int], deployments: Iterable[str], policies: Iterable[str], seeds: list[int]
) -> list[Job]:
    """Return a job for each selected combination that its scenario supports.

    An empty ``policies`` selects all policies of a scenario.
    """
    scenario_by_number = load_scenarios()
    wanted_policies = set(policies)
    wanted_deployments = set(deployments)
    return [
        Job(number, deployment, policy, seed)
        for number in scenarios
        for deployment in scenario_by_number[number].deployments
        if deployment in wanted_deployments
        for policy in scenario_by_number[number].policies
        if not wanted_policies or policy in wanted_policies
        for seed in seeds
    ]


def run_jobs(jobs: list[Job]) -> list[JobResult]:
    """Run jobs in worker processes and return their results in the order of the jobs."""
    if len(jobs) < MAX_WORKERS:
        return [run_job(job) for job in jobs]
    with ProcessPoolExecutor(MAX_WORKERS) as workers:
        return list(workers.map(run_job, jobs))


def worst_case_lines(results: list[JobResult]) -> list[SummaryLine]:
    """Return a summary line for each scenario, deployment, policy and metric."""
    measurements_by_key: dict[tuple, list[tuple[int, Measurement]]] = {}
    for result in results:
        job = result.job
        for measurement in result.measurements:
            key = (job.scenario, job.deployment, job.policy, measurement.metric)
            measurements_by_key.setdefault(key, []).append((job.seed, measurement))
    return [
        _worst_case_line(key, measurements_by_seed)
        for key, measurements_by_seed in measurements_by_key.items()
    ]


def _worst_case_line(
    key: tuple, measurements_by_seed: list[tuple[int, Measurement]]
) -> SummaryLine:
    first = measurements_by_seed[0][1]
    pick_worst = max if first.at_most is not None or first.higher_is_worse else min
    seed, measurement = pick_worst(measurements_by_seed, key=lambda entry: entry[1].value)
    return SummaryLine(*key, measurement, seed, [entry.value for _, entry in measurements_by_seed])
