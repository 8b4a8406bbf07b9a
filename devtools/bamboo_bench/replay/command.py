"""The command ``bamboo-bench replay``."""

import asyncio
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option

from bamboo_bench.policy.plot import write_curves
from bamboo_bench.replay.clients import Result
from bamboo_bench.replay.figures import ReplayFigures, mean_figures, write_csv
from bamboo_bench.replay.pattern import load_pattern, pattern_names
from bamboo_bench.replay.runner import ReplayResult

WORKER_MODULE = "bamboo_bench.replay.worker"
WORKERS_MAX = 3


@dataclass(slots=True, frozen=True)
class ReplayJob:
    """One replay of a pattern by the product's code in a checkout, the installed one if None."""

    pattern: str
    scale: float
    seed: int
    checkout: Path | None

    @property
    def label(self) -> str:
        """Return the name of the checkout in tables and plots."""
        return "installed" if self.checkout is None else self.checkout.name

    async def run(self, slots: asyncio.Semaphore) -> ReplayResult:
        """Replay in a process of its own; raise RuntimeError if it fails."""
        async with slots:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", WORKER_MODULE, self.pattern),
                *(str(self.scale), str(self.seed)),
                stdout=asyncio.subprocess.PIPE,
                # The interpreter looks for the product in its working directory first.
                cwd=self.checkout,
            )
            output, _ = await process.communicate()
        if process.returncode:
            raise RuntimeError(f"the replay with seed {self.seed} on {self.label} failed")
        return msgspec.json.decode(output, type=ReplayResult)


async def run_jobs(jobs: list[ReplayJob]) -> list[ReplayResult]:
    """Run jobs, a few at a time, and return their results in the order of the jobs."""
    slots = asyncio.Semaphore(WORKERS_MAX)
    return await asyncio.gather(*(job.run(slots) for job in jobs))


def summary_lines(label: str, runs: list[ReplayFigures]) -> list[str]:
    """Return the mean figures of several replays as text, a line for each kind."""

    def mean(value: Callable[[ReplayFigures], float]) -> float:
        return mean_figures(runs, value)

    lines = [
        " ".join(
            [
                f"{label:<16}{kind:<16}",
                *(
                    f"{result.value} "
                    f"{mean(lambda run: run.result_shares_by_kind[kind][result]):.3f}"  # noqa: B023
                    for result in Result
                ),
            ]
        )
        for kind in runs[0].result_shares_by_kind
    ]
    worst_second = mean(lambda run: min(run.goodput_by_second.values()))
    worst_data_centre = mean(lambda run: min(run.goodput_by_data_centre.values()))
    busiest = {
        service: mean(lambda run: run.busiest_by_service[service])  # noqa: B023
        for service in runs[0].busiest_by_service
    }
    lines.append(
        f"{label:<16}failed after admission {mean(lambda run: run.failed_after_admission):.3f}, "
        f"late refusals {mean(lambda run: run.late_refusals):.3f}, "
        f"arrivals a request {mean(lambda run: run.arrivals_per_request):.2f}, "
        f"worst second {worst_second:.2f}, worst data centre {worst_data_centre:.2f}, "
        f"busiest upstream {max(busiest, key=busiest.get)} {max(busiest.values()):.2f}"
    )
    return lines


class ReplayCommand(Command):
    """The command that replays a load pattern on a fleet of platform nodes."""

    name = "replay"
    description = "Replay a load pattern on simulated nodes of the users' platform"
    arguments = [
        argument("pattern", "Name of a pattern, or a TOML file; without it, list them", True)
    ]
    options = [
        option("scale", None, "Size of the fleet and its load", flag=False, default="1"),
        option("seeds", None, "Number of seeds, from 1 on", flag=False, default="10"),
        option(
            "checkout",
            None,
            "Directory of a checkout to compare; may be given several times",
            flag=False,
            multiple=True,
        ),
        option("csv", None, "File for one line for each request", flag=False),
        option("plot", None, "SVG file for goodput by second, with seed 1", flag=False),
    ]

    def handle(self) -> int:
        """Replay, and print the figures by checkout and kind."""
        name = self.argument("pattern")
        if not name:
            for known in pattern_names():
                self.line(f"{known:<20}{load_pattern(known).title}")
            return 0
        seeds = range(1, 1 + int(self.option("seeds")))
        checkouts = [Path(directory) for directory in self.option("checkout")] or [None]
        jobs = [
            ReplayJob(name, float(self.option("scale")), seed, checkout)
            for checkout in checkouts
            for seed in seeds
        ]
        results = asyncio.run(run_jobs(jobs))
        figures_by_label: dict[str, list[ReplayFigures]] = {}
        for job, result in zip(jobs, results, strict=True):
            figures_by_label.setdefault(job.label, []).append(result.figures)
        for label, runs in figures_by_label.items():
            for line in summary_lines(label, runs):
                self.line(line)
        self._write_files(jobs, results, figures_by_label)
        return 0

    def _write_files(
        self,
        jobs: list[ReplayJob],
        results: list[ReplayResult],
        figures_by_label: dict[str, list[ReplayFigures]],
    ) -> None:
        if self.option("csv"):
            records_by_run = {
                f"{job.label}/{job.seed}": result.records
                for job, result in zip(jobs, results, strict=True)
            }
            write_csv(Path(self.option("csv")), records_by_run)
        if self.option("plot"):
            curve_by_label = {
                label: list(runs[0].goodput_by_second.values())
                for label, runs in figures_by_label.items()
            }
            write_curves(Path(self.option("plot")), curve_by_label, 1.0, "0 to 1, share in time")
