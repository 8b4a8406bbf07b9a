"""The calls that ask the admission controller for a slot, and its decisions on them."""

from dataclasses import dataclass
from enum import Enum, auto

from bamboojunction.core.outcomes import NotRun


class CompletionStatus(Enum):
    """How a started call ended at the upstream."""

    SUCCEEDED = auto()
    FAILED = auto()
    OVERLOADED = auto()
    CRASHED = auto()
    CANCELLED = auto()


@dataclass(slots=True)
class Ticket:
    """A call that asks for a slot of the upstream.

    ``deadline`` is in seconds on the local monotonic clock. ``depth`` is the number of calls above
    this one in its call chain. ``slots_max`` limits how many calls of the kind may run at this
    upstream at once; 0 means no limit.
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
    """The decision to send a call to the upstream now."""

    ticket_id: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """The decision to answer a call as not run."""

    ticket_id: int
    outcome: NotRun


Decision = Start | Refuse
