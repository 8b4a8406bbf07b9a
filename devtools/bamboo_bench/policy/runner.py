"""Running of scenarios over seeds, policies and deployments."""

import json
import time
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from bamboo_bench.policy.deployments import DEPLOYMENTS
from bamboo_bench.policy.policies import POLICIES
from bamboo_bench.policy.scenarios import Measure, load_scenarios

WORKERS_MAX = 3


@dataclass(slots=True, frozen=True)
class Job:
    """Name one run."""

    scenario: int
    deployment: str
    policy: str
    seed: int


@dataclass(slots=True, frozen=True)
class JobResult:
    """Hold the figures of one run and its processor time in seconds."""

    job: Job
    measures: list[Measure]
    cpu_seconds: float


@dataclass(slots=True, frozen=True)
class Line:
    """Hold one figure over all seeds: that of the worst seed, and which seed that is."""

    scenario: int
    deployment: str
    policy: str
    metric: str
    worst: Measure
    worst_seed: int
    values: list[float]

    @property
    def judged(self) -> bool:
        """Return whether the figure has to meet its target; baselines do not."""
        return self.worst.has_target and self.policy == "today"

    @property
    def verdict(self) -> str:
        """Return the word printed for the target."""
        if not self.judged:
            return "-"
        return "pass" if self.worst.met else "FAIL"

    def to_text(self) -> str:
        """Return the line for people."""
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
        """Return the line for programs."""
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


def play(job: Job) -> JobResult:
    """Run one job in this process."""
    scenario = load_scenarios()[job.scenario]
    started = time.process_time()
    run = scenario.play(DEPLOYMENTS[job.deployment](), POLICIES[job.policy], job.seed)
    return JobResult(job, scenario.measures(run), time.process_time() - started)


def jobs_for(
    scenarios: Iterable[int], deployments: Iterable[str], policies: Iterable[str], seeds: list[int]
) -> list[Job]:
    """Return every run that was asked for and that its scenario knows."""
    known = load_scenarios()
    wanted_policies = set(policies)
    wanted_deployments = set(deployments)
    return [
        Job(number, deployment, policy, seed)
        for number in scenarios
        for deployment in known[number].deployments
        if deployment in wanted_deployments
        for policy in known[number].policies
        if not wanted_policies or policy in wanted_policies
        for seed in seeds
    ]


def play_all(jobs: list[Job]) -> list[JobResult]:
    """Run jobs on a few worker processes, in the order given."""
    if len(jobs) < WORKERS_MAX:
        return [play(job) for job in jobs]
    with ProcessPoolExecutor(WORKERS_MAX) as workers:
        return list(workers.map(play, jobs))


def worst_lines(results: list[JobResult]) -> list[Line]:
    """Return a line for each scenario, deployment, policy and metric."""
    grouped: dict[tuple, list[tuple[int, Measure]]] = {}
    for result in results:
        job = result.job
        for measure in result.measures:
            key = (job.scenario, job.deployment, job.policy, measure.metric)
            grouped.setdefault(key, []).append((job.seed, measure))
    return [_worst(key, found) for key, found in grouped.items()]


def _worst(key: tuple, found: list[tuple[int, Measure]]) -> Line:
    first = found[0][1]
    pick = max if first.at_most is not None or first.higher_is_worse else min
    seed, measure = pick(found, key=lambda entry: entry[1].value)
    return Line(*key, measure, seed, [entry.value for _, entry in found])
