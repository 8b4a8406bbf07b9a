"""Scenario 10: pairs of faults, and what must hold through all of them."""

from dataclasses import dataclass, field

from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.figures import succeeded_share, useful_share, usual_rates
from bamboo_bench.policy.ledger import TryRecord, Window
from bamboo_bench.policy.scenarios import Measure, Run, Scenario, register
from bamboojunction.core.table.rows import Effect

SLOW_AND_FLOOD = Window("slow_and_flood", 3.0, 10.0)
SURGE_AND_DEAD = Window("surge_and_dead", 14.0, 21.0)
URGENT_AND_SLOW = Window("urgent_and_slow", 25.0, 32.0)
SURGE_AND_CUT = Window("surge_and_cut_off", 36.0, 43.0)
PAIRS = (SLOW_AND_FLOOD, SURGE_AND_DEAD, URGENT_AND_SLOW, SURGE_AND_CUT)
# In a flood of the most urgent the flooding kind itself is shed beyond its share.
RANKED_PAIRS = (SLOW_AND_FLOOD, SURGE_AND_DEAD, SURGE_AND_CUT)
LOAD = 0.6
FLOOD_FACTOR = 5.0
SURGE_FACTOR = 3.0
SLOWNESS = 10.0
CLIENT_RETRIES = 3


@register
@dataclass(slots=True)
class Pairs(Scenario):
    """Bring about one pair of faults after the other, with a pause between them."""

    number: int = 10
    title: str = "pairs of faults"
    seconds: float = 48.0
    windows: list[Window] = field(default_factory=lambda: list(PAIRS))

    def traffic(self, deployment: Deployment) -> Traffic:
        """Load the contended service to a usual level, with clients that retry hard."""
        return Traffic(usual_rates(deployment, LOAD), CLIENT_RETRIES)

    def script(self, run: Run) -> None:
        """Schedule the pairs."""
        ranks = [kind.row.rank for kind in run.deployment.kinds]
        _flood(run, SLOW_AND_FLOOD, max(ranks))
        _slow(run, SLOW_AND_FLOOD)
        _surge(run, SURGE_AND_DEAD)
        _kill_one(run, SURGE_AND_DEAD)
        _flood(run, URGENT_AND_SLOW, min(ranks))
        _slow(run, URGENT_AND_SLOW)
        _surge(run, SURGE_AND_CUT)
        data_centre = run.deployment.data_centres[-1]
        run.world.clock.call_at(SURGE_AND_CUT.start, run.world.cut_off, data_centre)
        run.world.clock.call_at(SURGE_AND_CUT.end, run.world.rejoin, data_centre)

    def measures(self, run: Run) -> list[Measure]:
        """Check what must always hold and report the goodput of each pair."""
        tries = run.ledger.tries
        contended = run.deployment.contended
        goodput = [
            Measure(
                f"goodput_{pair.name}",
                useful_share(run.ledger, run.deployment, pair.name, contended),
            )
            for pair in PAIRS
        ]
        return [
            Measure(
                "executions_over_1_plus_allowance",
                max(_over_allowance(run, attempt) for attempt in tries),
                at_most=0.0,
            ),
            Measure(
                "executions_of_one_effect",
                max(_executions(attempt) for attempt in tries if _has_effect(run, attempt.kind)),
                at_most=1.0,
            ),
            Measure(
                "untrue_refusals",
                sum(1 for attempt in tries if attempt.refused and _executions(attempt)),
                at_most=0.0,
            ),
            Measure(
                "effects_kept_beyond_reads",
                min(_effects_beyond_reads(run, pair) for pair in RANKED_PAIRS),
                at_least=0.0,
            ),
            *goodput,
        ]


def _flood(run: Run, pair: Window, rank: int) -> None:
    usual = usual_rates(run.deployment, LOAD)
    kind = next(kind.row.kind for kind in run.deployment.kinds if kind.row.rank == rank)
    _set_rates(run, pair, usual | {kind: FLOOD_FACTOR * sum(usual.values())})


def _surge(run: Run, pair: Window) -> None:
    _set_rates(run, pair, usual_rates(run.deployment, LOAD * SURGE_FACTOR))


def _set_rates(run: Run, pair: Window, rates: dict[str, float]) -> None:
    clock, traffic = run.world.clock, run.traffic
    clock.call_at(pair.start, setattr, traffic, "rate_by_kind", rates)
    clock.call_at(pair.end, setattr, traffic, "rate_by_kind", usual_rates(run.deployment, LOAD))


def _slow(run: Run, pair: Window) -> None:
    clock = run.world.clock
    for node in run.world.nodes(run.deployment.contended):
        clock.call_at(pair.start, setattr, node.upstream.condition, "slowness", SLOWNESS)
        clock.call_at(pair.end, setattr, node.upstream.condition, "slowness", 1.0)


def _kill_one(run: Run, pair: Window) -> None:
    upstream = run.world.nodes(run.deployment.contended)[0].upstream
    upstream.condition.restart_seconds = pair.seconds
    run.world.clock.call_at(pair.start, upstream.crash)


def _executions(attempt: TryRecord) -> int:
    return max(attempt.executions_by_service.values(), default=0)


def _over_allowance(run: Run, attempt: TryRecord) -> int:
    return _executions(attempt) - 1 - run.world.table.by_kind[attempt.kind].retries


def _has_effect(run: Run, kind: str) -> bool:
    return run.world.table.by_kind[kind].effect is Effect.ONCE


def _effects_beyond_reads(run: Run, pair: Window) -> float:
    """Return how much more of the kinds with effects succeeded than of the least urgent reads."""
    arrived = run.ledger.arrived_in(pair)
    last = max(kind.row.rank for kind in run.deployment.kinds)
    reads = succeeded_share(request for request in arrived if request.rank == last)
    effects = [
        succeeded_share(request for request in arrived if request.kind == kind.row.kind)
        for kind in run.deployment.kinds
        if kind.row.effect is Effect.ONCE
    ]
    return min(effects) - reads
