"""Scenario 6: retry storms, in an outage of one service and then in mixed faults of all."""

from dataclasses import dataclass, field

from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.ledger import TryRecord, Window
from bamboo_bench.policy.scenarios import Measurement, Scenario, ScenarioRun, register
from bamboo_bench.policy.statistics import usual_rates

OUTAGE = Window("outage", 4.0, 12.0)
STORM = Window("storm", 15.0, 25.0)
LOAD = 0.5
CLIENT_RETRIES = 5
STORM_FAILURE_RATE = 0.3
STORM_CRASH_EVERY_SECONDS = 1.0
STORM_RESTART_SECONDS = 1.0
STORM_PARTITION_SECONDS = 1.5
EXECUTIONS_PER_FIRST_AT_MOST = 1.1


@register
@dataclass(slots=True)
class RetryStorm(Scenario):
    """An outage of the bottleneck service, then a storm of failures, crashes and partitions."""

    number: int = 6
    title: str = "retry storms"
    seconds: float = 28.0
    windows: list[Window] = field(default_factory=lambda: [OUTAGE, STORM])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Return a usual load on the bottleneck service, with clients that retry aggressively."""
        return Traffic(usual_rates(deployment, LOAD), CLIENT_RETRIES)

    def schedule_events(self, run: ScenarioRun) -> None:
        """Schedule the outage and the storm."""
        clock = run.simulation.clock
        clock.call_at(OUTAGE.start, _set_failure_rate, run, run.deployment.bottleneck_service, 1.0)
        clock.call_at(OUTAGE.end, _set_failure_rate, run, run.deployment.bottleneck_service, 0.0)
        clock.call_at(OUTAGE.start, run.ledger.snapshot_counts, OUTAGE.name)
        clock.call_at(OUTAGE.end, run.ledger.snapshot_counts, f"{OUTAGE.name}_end")
        for service in run.deployment.services:
            clock.call_at(STORM.start, _set_failure_rate, run, service.name, STORM_FAILURE_RATE)
            clock.call_at(STORM.end, _set_failure_rate, run, service.name, 0.0)
        nodes = list(run.simulation.nodes_by_instance.values())
        for number in range(int(STORM.seconds / STORM_CRASH_EVERY_SECONDS)):
            due_at = STORM.start + number * STORM_CRASH_EVERY_SECONDS
            upstream = run.simulation.random.choice(nodes).upstream
            upstream.condition.restart_seconds = STORM_RESTART_SECONDS
            clock.call_at(due_at, upstream.crash)
        for number, data_centre in enumerate(run.deployment.data_centres):
            due_at = STORM.start + (2 * number + 1) * STORM_PARTITION_SECONDS
            clock.call_at(due_at, run.simulation.partition_data_centre, data_centre)
            clock.call_at(
                due_at + STORM_PARTITION_SECONDS, run.simulation.heal_data_centre, data_centre
            )

    def measurements(self, run: ScenarioRun) -> list[Measurement]:
        """Measure executions against the allowance of each action and against first attempts."""
        most_over_allowance = max(
            _executions_over_allowance(run, try_record) for try_record in run.ledger.tries
        )
        bottleneck_service = run.deployment.bottleneck_service
        return [
            Measurement("executions_over_1_plus_allowance", most_over_allowance, at_most=0.0),
            Measurement(
                "outage_executions_per_first",
                run.ledger.executions_per_first_attempt(OUTAGE.name),
                at_most=EXECUTIONS_PER_FIRST_AT_MOST,
            ),
            Measurement(
                "outage_attempts_per_first",
                run.ledger.attempts_per_first_attempt(OUTAGE.name),
                at_most=EXECUTIONS_PER_FIRST_AT_MOST,
            ),
            Measurement(
                "outage_attempts_per_first_there",
                run.ledger.attempts_per_first_attempt(OUTAGE.name, bottleneck_service),
                at_most=EXECUTIONS_PER_FIRST_AT_MOST,
            ),
        ]


def _set_failure_rate(run: ScenarioRun, service: str, rate: float) -> None:
    for node in run.simulation.nodes(service):
        node.upstream.condition.failure_rate = rate


def _executions_over_allowance(run: ScenarioRun, try_record: TryRecord) -> int:
    """Return by how much the executions of one action at one service exceed 1 + its retries.

    The bound holds because no kind calls a service twice for one action.
    """
    most_executions = max(try_record.executions_by_service.values(), default=0)
    return most_executions - 1 - run.simulation.table.by_kind[try_record.kind].retries
