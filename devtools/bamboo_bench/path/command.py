"""The command ``bamboo-bench path``."""

import os

os.environ["UV_USE_IO_URING"] = "0"  # libuv reads it when it is loaded, so it is set first.

import json
import tempfile
from dataclasses import asdict
from pathlib import Path

import uvloop
from cleo.commands.command import Command
from cleo.helpers import option

from bamboo_bench.path.chains import Chains, MachineTime
from bamboo_bench.path.load import LoadSource
from bamboo_bench.path.report import PathFigures

WARM_UP_SECONDS = 2.0
CLOSED_WORKERS = 32
TRACE_SETTINGS = "[telemetry]\ntrace_endpoint = http://127.0.0.1:9/v1/traces\n"


async def measure(
    directory: Path, hops: int, body_bytes: int, rate: float, seconds: float, tracing: bool
) -> PathFigures:
    """Run both chains and return the figures."""
    chains = Chains(directory, hops, TRACE_SETTINGS if tracing else "")
    await chains.start()
    source = LoadSource(chains, body_bytes, seed=1)
    try:
        await source.run_pairs(rate, WARM_UP_SECONDS)
        before = chains.processor_times()
        machine_before = MachineTime.now()
        pairs = await source.run_pairs(rate, seconds)
        after = chains.processor_times()
        stolen_share = MachineTime.now().stolen_share_since(machine_before)
        calls = max(1, len(pairs.layered))
        processor = {
            name: (after[name].total - before[name].total) / calls * 1e6 for name in before
        }
        resident = {name: size / 1e6 for name, size in chains.resident().items()}
    finally:
        await source.close()
        await chains.stop()
    return PathFigures.from_pairs(
        pairs,
        hops=hops,
        body_bytes=body_bytes,
        tracing=tracing,
        processor_us_per_call=processor,
        resident_mb=resident,
        stolen_share=stolen_share,
    )


async def measure_maximum(directory: Path, seconds: float) -> float:
    """Return the calls a second that one entry node and one gate carry at the most."""
    chains = Chains(directory, 1)
    await chains.start()
    source = LoadSource(chains, 512, seed=1)
    try:
        await source.run_closed(CLOSED_WORKERS, WARM_UP_SECONDS)
        return await source.run_closed(CLOSED_WORKERS, seconds) / seconds
    finally:
        await source.close()
        await chains.stop()


class PathCommand(Command):
    """Measure what the layer adds to a call over real processes."""

    name = "path"
    description = "Measure what the layer adds to a call over real processes"
    options = [
        option("hops", None, "Services in the chain", flag=False, default="1"),
        option("body", None, "Bytes of each body", flag=False, default="512"),
        option("rate", None, "Pairs of calls a second", flag=False, default="305"),
        option("seconds", None, "Seconds of load", flag=False, default="20"),
        option("tracing", None, "Export a span for each hop", flag=True),
        option("maximum", None, "Measure the most calls a second instead", flag=True),
        option("json", None, "Print one line of JSON", flag=True),
    ]

    def handle(self) -> int:
        """Measure and print; 0 when the target was met, 1 when not."""
        seconds = float(self.option("seconds"))
        with tempfile.TemporaryDirectory() as directory:
            if self.option("maximum"):
                rate = uvloop.run(measure_maximum(Path(directory), seconds))
                self.line(json.dumps({"maximum_calls_per_second": round(rate, 1)}))
                return 0
            figures = uvloop.run(
                measure(
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
            self._print(figures)
        return 0 if figures.met else 1

    def _print(self, figures: PathFigures) -> None:
        for name, value in asdict(figures).items():
            self.line(
                f"{name:24} {value:.3f}" if isinstance(value, float) else f"{name:24} {value}"
            )
