"""Calls and replies as the bench passes them between its fakes."""

from dataclasses import dataclass, replace

from bamboo_bench.policy.deployments import CallSpec
from bamboo_bench.policy.ledger import RequestRecord, TryRecord
from bamboojunction.core.calls import Call
from bamboojunction.core.load import LoadReport
from bamboojunction.core.outcomes import (
    Outcome,
    Ran,
)
from bamboojunction.core.table.rows import Row

LOCAL_ONE_WAY_DELAY_SECONDS = 0.0002
LINK_LOSS_DETECTION_SECONDS = 0.05  # Time until a link to a crashed or cut-off node is noticed.
FAILED_STATUS = 502


@dataclass(slots=True)
class SimCall:
    """Carry a call with what only the bench needs."""

    call: Call
    row: Row
    call_spec: CallSpec
    request_record: RequestRecord
    try_record: TryRecord

    def child(self, call_spec: CallSpec, allowance: int, deadline: float) -> "SimCall":
        """Return a child call."""
        call = replace(
            self.call,
            service=call_spec.service,
            allowance=allowance,
            depth=self.call.depth + 1,
            deadline=deadline,
        )
        return SimCall(call, self.row, call_spec, self.request_record, self.try_record)


@dataclass(slots=True, frozen=True)
class Reply:
    """Carry an outcome with the gate's report and the execution time in seconds."""

    outcome: Outcome
    report: LoadReport | None = None
    service_seconds: float = 0.0


def has_succeeded(outcome: Outcome) -> bool:
    """Return whether an outcome is a whole answer."""
    return isinstance(outcome, Ran) and outcome.status < 500


def copy_for_attempt(sim_call: SimCall) -> SimCall:
    """Return a copy for one attempt, as a call that crosses a link is copied."""
    return SimCall(
        replace(sim_call.call),
        sim_call.row,
        sim_call.call_spec,
        sim_call.request_record,
        sim_call.try_record,
    )
