"""Scenario 6: retry storms, in a full outage of one service and then whatever else fails."""

from dataclasses import dataclass, field

from bamboo_bench.policy.clients import Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.figures import usual_rates
from bamboo_bench.policy.ledger import TryRecord, Window
from bamboo_bench.policy.scenarios import Measure, Run, Scenario, register

OUTAGE = Window("outage", 4.0, 12.0)
STORM = Window("storm", 15.0, 25.0)
LOAD = 0.5
CLIENT_RETRIES = 5
STORM_FAILURE_RATE = 0.3
STORM_CRASH_EVERY_SECONDS = 1.0
STORM_RESTART_SECONDS = 1.0
STORM_CUT_SECONDS = 1.5
EXECUTIONS_PER_FIRST_AT_MOST = 1.1


@register
@dataclass(slots=True)
class RetryStorm(Scenario):
    """Fail every execution of one service; later fail some of every service in every way."""

    number: int = 6
    title: str = "retry storms"
    seconds: float = 28.0
    windows: list[Window] = field(default_factory=lambda: [OUTAGE, STORM])

    def traffic(self, deployment: Deployment) -> Traffic:
        """Load the contended service to a usual level, with clients that retry hard."""
        return Traffic(usual_rates(deployment, LOAD), CLIENT_RETRIES)

    def script(self, run: Run) -> None:
        """Schedule the outage and the storm."""
        clock = run.world.clock
        clock.call_at(OUTAGE.start, _set_failures, run, run.deployment.contended, 1.0)
        clock.call_at(OUTAGE.end, _set_failures, run, run.deployment.contended, 0.0)
        clock.call_at(OUTAGE.start, run.ledger.mark, OUTAGE.name)
        clock.call_at(OUTAGE.end, run.ledger.mark, f"{OUTAGE.name}_end")
        for service in run.deployment.services:
            clock.call_at(STORM.start, _set_failures, run, service.name, STORM_FAILURE_RATE)
            clock.call_at(STORM.end, _set_failures, run, service.name, 0.0)
        nodes = list(run.world.nodes_by_instance.values())
        for number in range(int(STORM.seconds / STORM_CRASH_EVERY_SECONDS)):
            due = STORM.start + number * STORM_CRASH_EVERY_SECONDS
            upstream = run.world.random.choice(nodes).upstream
            upstream.condition.restart_seconds = STORM_RESTART_SECONDS
            clock.call_at(due, upstream.crash)
        for number, data_centre in enumerate(run.deployment.data_centres):
            due = STORM.start + (2 * number + 1) * STORM_CUT_SECONDS
            clock.call_at(due, run.world.cut_off, data_centre)
            clock.call_at(due + STORM_CUT_SECONDS, run.world.rejoin, data_centre)

    def measures(self, run: Run) -> list[Measure]:
        """Compare executions with the allowance of each action and with first attempts."""
        over = max(_over_allowance(run, attempt) for attempt in run.ledger.tries)
        contended = run.deployment.contended
        return [
            Measure("executions_over_1_plus_allowance", over, at_most=0.0),
            Measure(
                "outage_executions_per_first",
                run.ledger.executions_per_first(OUTAGE.name),
                at_most=EXECUTIONS_PER_FIRST_AT_MOST,
            ),
            Measure(
                "outage_attempts_per_first",
                run.ledger.attempts_per_first(OUTAGE.name),
                at_most=EXECUTIONS_PER_FIRST_AT_MOST,
            ),
            Measure(
                "outage_attempts_per_first_there",
                run.ledger.attempts_per_first(OUTAGE.name, contended),
                at_most=EXECUTIONS_PER_FIRST_AT_MOST,
            ),
        ]


def _set_failures(run: Run, service: str, rate: float) -> None:
    for node in run.world.nodes(service):
        node.upstream.condition.failure_rate = rate


def _over_allowance(run: Run, attempt: TryRecord) -> int:
    """Return by how much the executions of one action at one service exceed its bound.

    No kind of the deployments calls a service twice for one action.
    """
    most = max(attempt.executions_by_service.values(), default=0)
    return most - 1 - run.world.table.by_kind[attempt.kind].retries
