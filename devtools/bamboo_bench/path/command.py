"""The command ``bamboo-bench path``."""

import os

os.environ["UV_USE_IO_URING"] = "0"  # libuv reads it on load, so it is set before the imports.

import json
import tempfile
from dataclasses import asdict
from pathlib import Path

import uvloop
from cleo.commands.command import Command
from cleo.helpers import option

from bamboo_bench.path.chains import Chains, MachineCpuTime
from bamboo_bench.path.load import LoadGenerator
from bamboo_bench.path.platform_hop import compare_checkouts
from bamboo_bench.path.report import PathFigures

WARM_UP_SECONDS = 2.0
CLOSED_LOOP_WORKERS = 32
TRACE_SETTINGS = "[telemetry]\ntrace_endpoint = http://127.0.0.1:9/v1/traces\n"


async def measure_latency(
    directory: Path, hops: int, body_bytes: int, rate: float, seconds: float, tracing: bool
) -> PathFigures:
    """Run both chains under the same load and return the figures."""
    chains = Chains(directory, hops, TRACE_SETTINGS if tracing else "")
    await chains.start()
    rng = LoadGenerator(chains, body_bytes, seed=1)
    try:
        await rng.run_open_loop(rate, WARM_UP_SECONDS)
        processor_before = chains.processor_time_by_instance()
        machine_before = MachineCpuTime.now()
        pairs = await rng.run_open_loop(rate, seconds)
        processor_after = chains.processor_time_by_instance()
        stolen_share = MachineCpuTime.now().stolen_share_since(machine_before)
        calls = max(1, len(pairs.layered))
        processor_us_by_instance = {
            name: (processor_after[name].total - processor_before[name].total) / calls * 1e6
            for name in processor_before
        }
        resident_mb = {
            name: size / 1e6 for name, size in chains.resident_bytes_by_instance().items()
        }
    finally:
        await rng.close()
        await chains.stop()
    return PathFigures.from_pairs(
        pairs,
        hops=hops,
        body_bytes=body_bytes,
        tracing=tracing,
        processor_us_per_call=processor_us_by_instance,
        resident_mb=resident_mb,
        stolen_share=stolen_share,
    )


async def measure_maximum_rate(directory: Path, seconds: float) -> float:
    """Return the maximum rate of calls per second through one entry node and one gate."""
    chains = Chains(directory, 1)
    await chains.start()
    rng = LoadGenerator(chains, 512, seed=1)
    try:
        await rng.run_closed_loop(CLOSED_LOOP_WORKERS, WARM_UP_SECONDS)
        return await rng.run_closed_loop(CLOSED_LOOP_WORKERS, seconds) / seconds
    finally:
        await rng.close()
        await chains.stop()


class PathCommand(Command):
    """The command that measures the latency that the layer adds to a call."""

    name = "path"
    description = "Measure the latency that the layer adds to a call, with real processes"
    options = [
        option("hops", None, "Services in the chain", flag=False, default="1"),
        option("body", None, "Size of each body in bytes", flag=False, default="512"),
        option("rate", None, "Pairs of calls per second", flag=False, default="305"),
        option("seconds", None, "Seconds of load", flag=False, default="20"),
        option("tracing", None, "Export a span for each hop", flag=True),
        option("maximum", None, "Measure the maximum rate of calls per second instead", flag=True),
        option("json", None, "Print one line of JSON", flag=True),
        option(
            "platform",
            None,
            "Compare checkouts by the cost of a hop between nodes of the platform instead",
            flag=True,
        ),
        option(
            "checkout",
            None,
            "Directory of a checkout to compare; may be given several times",
            flag=False,
            multiple=True,
        ),
        option("rounds", None, "Rounds of the comparison", flag=False, default="3"),
    ]

    def handle(self) -> int:
        """Measure and print; return 0 if the target was met, else 1."""
        seconds = float(self.option("seconds"))
        if self.option("platform"):
            return self._compare_checkouts(seconds)
        with tempfile.TemporaryDirectory() as directory:
            if self.option("maximum"):
                rate = uvloop.run(measure_maximum_rate(Path(directory), seconds))
                self.line(json.dumps({"maximum_calls_per_second": round(rate, 1)}))
                return 0
            figures = uvloop.run(
                measure_latency(
                    Path(directory),
                    int(self.option("hops")),
                    int(self.option("body")),
                    float(self.option("rate")),
                    seconds,
                    self.option("tracing"),
                )
            )
        if self.option("json"):
            self.line(json.dumps(asdict(figures)))
        else:
            self._print_figures(figures)
        return 0 if figures.met else 1

    def _compare_checkouts(self, seconds: float) -> int:
        checkouts = [Path(directory) for directory in self.option("checkout")] or [Path.cwd()]
        figures_by_checkout = uvloop.run(
            compare_checkouts(
                checkouts, float(self.option("rate")), seconds, int(self.option("rounds"))
            )
        )
        for checkout, figures in figures_by_checkout.items():
            self.line(f"{checkout.name}: {figures.render()}")
        return 0

    def _print_figures(self, figures: PathFigures) -> None:
        for name, value in asdict(figures).items():
            self.line(
                f"{name:24} {value:.3f}" if isinstance(value, float) else f"{name:24} {value}"
            )
