"""The reply of a gate to a call, for local gates and for gates reached over a link."""

from dataclasses import dataclass, field

from bamboojunction.core.load_reports import LoadReport
from bamboojunction.core.outcomes import Outcome
from bamboojunction.core.retries.chain_costs import CallsByService


@dataclass(slots=True, frozen=True)
class GateReply:
    """The outcome of a call at a gate, with the gate's load report and two durations.

    ``service_seconds`` is the upstream's execution time and ``gate_seconds`` the total time at the
    gate, 0 when it was not measured. ``calls_below`` is the number of calls by service that the run
    led to, at any depth; it is empty if the run was not complete.
    """

    outcome: Outcome
    report: LoadReport | None = None
    service_seconds: float = 0.0
    gate_seconds: float = 0.0
    calls_below: CallsByService = field(default_factory=dict)
