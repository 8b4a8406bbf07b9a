"""Plots of goodput over time, as SVG files."""

from pathlib import Path

from bamboo_bench.policy.deployments import DEPLOYMENTS
from bamboo_bench.policy.policies import POLICIES
from bamboo_bench.policy.runner import Job
from bamboo_bench.policy.scenarios import load_scenarios
from bamboo_bench.policy.statistics import succeeded_in_time

INTERVAL_SECONDS = 0.5
WIDTH, HEIGHT, MARGIN = 900, 300, 40  # In pixels.
COLOURS = ("#1b6ca8", "#c0392b", "#6c8e23", "#7d5ba6", "#b7791f", "#3d3d3d")


def goodput_curve(job: Job) -> list[float]:
    """Run a job and return its successful requests per second for each interval of arrival."""
    scenario = load_scenarios()[job.scenario]
    run = scenario.simulate(DEPLOYMENTS[job.deployment](), POLICIES[job.policy], job.seed)
    counts = [0] * int(scenario.seconds / INTERVAL_SECONDS)
    for request in run.ledger.requests:
        interval = int(request.arrived_at / INTERVAL_SECONDS)
        if interval < len(counts) and succeeded_in_time(request):
            counts[interval] += 1
    return [count / INTERVAL_SECONDS for count in counts]


def write_plot(path: Path, jobs: list[Job]) -> None:
    """Run jobs and write an SVG file with a curve for each."""
    curve_by_label = {
        f"scenario {job.scenario} {job.deployment} {job.policy} seed {job.seed}": goodput_curve(job)
        for job in jobs
    }
    max_rate = max(max(curve) for curve in curve_by_label.values()) or 1.0
    write_curves(path, curve_by_label, max_rate, f"0 to {max_rate:.0f} requests/s in time")


def write_curves(
    path: Path, curve_by_label: dict[str, list[float]], max_value: float, axis_text: str
) -> None:
    """Write an SVG file with a curve of equidistant values from 0 to ``max_value`` each."""
    coloured = [
        (label, curve, COLOURS[index % len(COLOURS)])
        for index, (label, curve) in enumerate(curve_by_label.items())
    ]
    polylines = [_polyline(curve, max_value, colour) for _, curve, colour in coloured]
    labels = [
        f'<text x="{MARGIN + 10}" y="{MARGIN + 16 * index}" font-size="12" fill="{colour}">'
        f"{label}</text>"
        for index, (label, _, colour) in enumerate(coloured)
    ]
    axis_label = f'<text x="4" y="{HEIGHT - 4}" font-size="12">{axis_text}</text>'
    body = "\n".join([*polylines, *labels, axis_label])
    head = f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}">'
    path.write_text(f"{head}\n{body}\n</svg>\n")


def _polyline(values: list[float], max_value: float, colour: str) -> str:
    x_scale = (WIDTH - 2 * MARGIN) / max(1, len(values) - 1)
    y_scale = (HEIGHT - 2 * MARGIN) / max_value
    points = " ".join(
        f"{MARGIN + index * x_scale:.1f},{HEIGHT - MARGIN - value * y_scale:.1f}"
        for index, value in enumerate(values)
    )
    return f'<polyline fill="none" stroke="{colour}" stroke-width="1.5" points="{points}"/>'
