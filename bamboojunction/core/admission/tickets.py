"""The messages between the admission and its driver."""

from dataclasses import dataclass
from enum import Enum, auto

from bamboojunction.core.outcomes import NotRun


class ServiceEnd(Enum):
    """Say how a started call ended at the upstream."""

    SUCCEEDED = auto()
    FAILED = auto()
    OVERLOADED = auto()
    CRASHED = auto()
    CANCELLED = auto()


@dataclass(slots=True)
class Ticket:
    """Describe a call that waits for a slot.

    ``deadline`` is in seconds on the gate's clock. A ``slots_max`` of 0 sets no limit on how many
    calls of the kind may run here at once.
    """

    ticket_id: int
    kind: str
    rank: int
    weight: int
    action: str
    deadline: float
    depth: int = 0
    slots_max: int = 0


@dataclass(slots=True, frozen=True)
class Start:
    """Tell the driver to send the call to the upstream now."""

    ticket_id: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Tell the driver to answer the call as not run."""

    ticket_id: int
    outcome: NotRun


Decision = Start | Refuse
