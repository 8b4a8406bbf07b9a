"""Calls and replies that the simulated clients, nodes and upstreams exchange."""

from dataclasses import dataclass, replace

from bamboo_bench.policy.deployments import CallSpec
from bamboo_bench.policy.ledger import RequestRecord, TryRecord
from bamboojunction.core.calls import Call
from bamboojunction.core.load_reports import LoadReport
from bamboojunction.core.outcomes import (
    Outcome,
    Ran,
)
from bamboojunction.core.table.rows import Row

LOCAL_ONE_WAY_DELAY_SECONDS = 0.0002
LINK_LOSS_DETECTION_SECONDS = 0.05  # Until a sender notices that a node is unreachable.
FAILED_STATUS = 502


@dataclass(slots=True)
class SimCall:
    """A call with its table row, its place in the call graph and the records to update."""

    call: Call
    row: Row
    call_spec: CallSpec
    request_record: RequestRecord
    try_record: TryRecord

    def child(self, call_spec: CallSpec, allowance: int, deadline: float) -> "SimCall":
        """Return the call that this one makes for a child in the call graph."""
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
    """An outcome, the gate's load report and the execution time in seconds."""

    outcome: Outcome
    report: LoadReport | None = None
    service_seconds: float = 0.0


def has_succeeded(outcome: Outcome) -> bool:
    """Return whether the call ran and answered with a status below 500."""
    return isinstance(outcome, Ran) and outcome.status < 500


def copy_for_attempt(sim_call: SimCall) -> SimCall:
    """Return a copy for one attempt, as each link delivers its own copy of a call."""
    return SimCall(
        replace(sim_call.call),
        sim_call.row,
        sim_call.call_spec,
        sim_call.request_record,
        sim_call.try_record,
    )
