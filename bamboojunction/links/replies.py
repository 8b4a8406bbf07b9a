"""The reply of a gate to a call, for local gates and for gates reached over a link."""

from dataclasses import dataclass

from bamboojunction.core.load_reports import LoadReport
from bamboojunction.core.outcomes import Outcome


@dataclass(slots=True, frozen=True)
class GateReply:
    """The outcome of a call at a gate, with the gate's load report and two durations.

    ``service_seconds`` is the upstream's execution time and ``gate_seconds`` the total time at the
    gate, 0 when it was not measured.
    """

    outcome: Outcome
    report: LoadReport | None = None
    service_seconds: float = 0.0
    gate_seconds: float = 0.0
