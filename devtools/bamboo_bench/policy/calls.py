"""Calls and replies as the bench passes them between its fakes."""

from dataclasses import dataclass, replace

from bamboo_bench.policy.deployments import Step
from bamboo_bench.policy.ledger import RequestRecord, TryRecord
from bamboojunction.core.calls import Call
from bamboojunction.core.load import LoadReport
from bamboojunction.core.outcomes import (
    Outcome,
    Ran,
)
from bamboojunction.core.table.rows import Row

LOCAL_ONE_WAY_SECONDS = 0.0002
LOST_LINK_SECONDS = 0.05  # Time until a link to a crashed or cut-off node is noticed.
FAILED_STATUS = 502


@dataclass(slots=True)
class SimCall:
    """Carry a call with what only the bench needs."""

    call: Call
    row: Row
    step: Step
    record: RequestRecord
    attempt: TryRecord

    def child(self, step: Step, allowance: int, deadline: float) -> "SimCall":
        """Return a child call."""
        call = replace(
            self.call,
            service=step.service,
            allowance=allowance,
            depth=self.call.depth + 1,
            deadline=deadline,
        )
        return SimCall(call, self.row, step, self.record, self.attempt)


@dataclass(slots=True, frozen=True)
class Reply:
    """Carry an outcome with the gate's report and the execution time in seconds."""

    outcome: Outcome
    report: LoadReport | None = None
    service_seconds: float = 0.0


def has_succeeded(outcome: Outcome) -> bool:
    """Return whether an outcome is a whole answer."""
    return isinstance(outcome, Ran) and outcome.status < 500


def replace_call(sim: SimCall) -> SimCall:
    """Return a copy for one attempt, as a call that crosses a link is copied."""
    return SimCall(replace(sim.call), sim.row, sim.step, sim.record, sim.attempt)
