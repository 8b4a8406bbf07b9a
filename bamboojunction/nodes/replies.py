"""What a gate hands back for a call, in-process and over a link."""

from dataclasses import dataclass

from bamboojunction.core.load import LoadReport
from bamboojunction.core.outcomes import Outcome


@dataclass(slots=True, frozen=True)
class GateReply:
    """Carry an outcome, the gate's load and two times in seconds.

    ``service_seconds`` is the upstream's execution time, ``gate_seconds`` the whole time at the
    gate, 0 when it was not measured.
    """

    outcome: Outcome
    report: LoadReport | None = None
    service_seconds: float = 0.0
    gate_seconds: float = 0.0
