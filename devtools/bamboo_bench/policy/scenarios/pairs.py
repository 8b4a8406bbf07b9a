"""Scenario 10: pairs of simultaneous faults, and the invariants that hold through all of them."""

from dataclasses import dataclass, field

from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.ledger import TryRecord, Window
from bamboo_bench.policy.scenarios import Measurement, Scenario, ScenarioRun, register
from bamboo_bench.policy.statistics import success_rate, useful_slot_share, usual_rates
from bamboojunction.core.table.rows import Effect

SLOW_AND_FLOOD = Window("slow_and_flood", 3.0, 10.0)
SURGE_AND_CRASH = Window("surge_and_dead", 14.0, 21.0)
URGENT_AND_SLOW = Window("urgent_and_slow", 25.0, 32.0)
SURGE_AND_PARTITION = Window("surge_and_cut_off", 36.0, 43.0)
PAIRS = (SLOW_AND_FLOOD, SURGE_AND_CRASH, URGENT_AND_SLOW, SURGE_AND_PARTITION)
# Without the flood of the most urgent rank, in which the flooding kind itself, one with effects,
# is shed beyond its share.
RANKED_PAIRS = (SLOW_AND_FLOOD, SURGE_AND_CRASH, SURGE_AND_PARTITION)
LOAD = 0.6
FLOOD_FACTOR = 5.0
SURGE_FACTOR = 3.0
SLOWNESS = 10.0
CLIENT_RETRIES = 3


@register
@dataclass(slots=True)
class FaultPairs(Scenario):
    """Pairs of faults one after the other, with a pause between them."""

    number: int = 10
    title: str = "pairs of faults"
    seconds: float = 48.0
    windows: list[Window] = field(default_factory=lambda: list(PAIRS))

    def traffic(self, deployment: Deployment) -> Traffic:
        """Return a usual load on the bottleneck service, with clients that retry aggressively."""
        return Traffic(usual_rates(deployment, LOAD), CLIENT_RETRIES)

    def schedule_events(self, run: ScenarioRun) -> None:
        """Schedule the pairs of faults."""
        ranks = [spec.row.rank for spec in run.deployment.kinds]
        _schedule_flood(run, SLOW_AND_FLOOD, max(ranks))
        _schedule_slowness(run, SLOW_AND_FLOOD)
        _schedule_surge(run, SURGE_AND_CRASH)
        _schedule_crash(run, SURGE_AND_CRASH)
        _schedule_flood(run, URGENT_AND_SLOW, min(ranks))
        _schedule_slowness(run, URGENT_AND_SLOW)
        _schedule_surge(run, SURGE_AND_PARTITION)
        data_centre = run.deployment.data_centres[-1]
        run.simulation.clock.call_at(
            SURGE_AND_PARTITION.start, run.simulation.partition_data_centre, data_centre
        )
        run.simulation.clock.call_at(
            SURGE_AND_PARTITION.end, run.simulation.heal_data_centre, data_centre
        )

    def measurements(self, run: ScenarioRun) -> list[Measurement]:
        """Measure the invariants, and the goodput under each pair."""
        tries = run.ledger.tries
        bottleneck_service = run.deployment.bottleneck_service
        goodput = [
            Measurement(
                f"goodput_{pair.name}",
                useful_slot_share(run.ledger, run.deployment, pair.name, bottleneck_service),
            )
            for pair in PAIRS
        ]
        return [
            Measurement(
                "executions_over_1_plus_allowance",
                max(_executions_over_allowance(run, try_record) for try_record in tries),
                at_most=0.0,
            ),
            Measurement(
                "executions_of_one_effect",
                max(
                    _most_executions(try_record)
                    for try_record in tries
                    if _has_effect(run, try_record.kind)
                ),
                at_most=1.0,
            ),
            Measurement(
                "untrue_refusals",
                sum(
                    1 for try_record in tries if try_record.refused and _most_executions(try_record)
                ),
                at_most=0.0,
            ),
            Measurement(
                "effects_kept_beyond_reads",
                min(_effect_success_over_reads(run, pair) for pair in RANKED_PAIRS),
                at_least=0.0,
            ),
            *goodput,
        ]


def _schedule_flood(run: ScenarioRun, pair: Window, rank: int) -> None:
    usual = usual_rates(run.deployment, LOAD)
    kind = next(spec.row.kind for spec in run.deployment.kinds if spec.row.rank == rank)
    _schedule_rates(run, pair, usual | {kind: FLOOD_FACTOR * sum(usual.values())})


def _schedule_surge(run: ScenarioRun, pair: Window) -> None:
    _schedule_rates(run, pair, usual_rates(run.deployment, LOAD * SURGE_FACTOR))


def _schedule_rates(run: ScenarioRun, pair: Window, rates: dict[str, float]) -> None:
    clock, traffic = run.simulation.clock, run.traffic
    clock.call_at(pair.start, setattr, traffic, "rate_by_kind", rates)
    clock.call_at(pair.end, setattr, traffic, "rate_by_kind", usual_rates(run.deployment, LOAD))


def _schedule_slowness(run: ScenarioRun, pair: Window) -> None:
    clock = run.simulation.clock
    for node in run.simulation.nodes(run.deployment.bottleneck_service):
        clock.call_at(pair.start, setattr, node.upstream.condition, "slowness", SLOWNESS)
        clock.call_at(pair.end, setattr, node.upstream.condition, "slowness", 1.0)


def _schedule_crash(run: ScenarioRun, pair: Window) -> None:
    upstream = run.simulation.nodes(run.deployment.bottleneck_service)[0].upstream
    upstream.condition.restart_seconds = pair.seconds
    run.simulation.clock.call_at(pair.start, upstream.crash)


def _most_executions(try_record: TryRecord) -> int:
    return max(try_record.executions_by_service.values(), default=0)


def _executions_over_allowance(run: ScenarioRun, try_record: TryRecord) -> int:
    return _most_executions(try_record) - 1 - run.simulation.table.by_kind[try_record.kind].retries


def _has_effect(run: ScenarioRun, kind: str) -> bool:
    return run.simulation.table.by_kind[kind].effect is Effect.ONCE


def _effect_success_over_reads(run: ScenarioRun, pair: Window) -> float:
    """Return the lowest success rate of a kind with effects, minus that of the last rank."""
    arrived_requests = run.ledger.requests_arrived_in(pair)
    least_urgent_rank = max(spec.row.rank for spec in run.deployment.kinds)
    read_success_rate = success_rate(
        request for request in arrived_requests if request.rank == least_urgent_rank
    )
    effect_success_rates = [
        success_rate(request for request in arrived_requests if request.kind == spec.row.kind)
        for spec in run.deployment.kinds
        if spec.row.effect is Effect.ONCE
    ]
    return min(effect_success_rates) - read_success_rate
