"""The messages on the modelled network, and the steps that the model can take.

A ``copy`` is the index of a caller's copy of a keyed call in the model. A ``gate`` is a gate
incarnation such as "a/1" in the messages and in ``Retry``, and a gate name such as "a" in the other
steps.
"""

from dataclasses import dataclass

from bamboojunction.core.once.gate_records import KeyReport
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.outcomes import Outcome


@dataclass(slots=True, frozen=True)
class Forward:
    """A keyed call, forwarded to its home by the node that received it."""

    copy: int


@dataclass(slots=True, frozen=True)
class ForwardAnswer:
    """The answer of a home to the node that forwarded a copy."""

    copy: int
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class GateCall:
    """An attempt that a home sends to a gate incarnation."""

    key: ActionKey
    attempt: int
    gate: str


@dataclass(slots=True, frozen=True)
class GateAnswer:
    """The outcome of an attempt, sent back to its home."""

    key: ActionKey
    attempt: int
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class AttemptQuery:
    """A query from a home to a gate about an attempt whose outcome the home does not know."""

    key: ActionKey
    attempt: int
    gate: str


@dataclass(slots=True, frozen=True)
class AttemptReport:
    """The answer of a gate to an ``AttemptQuery``."""

    key: ActionKey
    attempt: int
    testimony: KeyReport


@dataclass(slots=True, frozen=True)
class SealRequest:
    """A request to a gate to seal a key, from a node that holds a copy and suspects the home."""

    copy: int
    gate: str


@dataclass(slots=True, frozen=True)
class SealReply:
    """The answer of a gate to a ``SealRequest``."""

    copy: int
    gate: str
    testimony: KeyReport


Message = (
    Forward
    | ForwardAnswer
    | GateCall
    | GateAnswer
    | AttemptQuery
    | AttemptReport
    | SealRequest
    | SealReply
)


@dataclass(slots=True, frozen=True)
class Arrive:
    """A caller's copy arrives at its node."""

    copy: int


@dataclass(slots=True, frozen=True)
class Deliver:
    """A message is delivered; with ``keeps_copy`` a duplicate of it stays on the network."""

    message: Message
    keeps_copy: bool


@dataclass(slots=True, frozen=True)
class Shed:
    """The admission control of a gate sheds a queued attempt."""

    gate: str
    key: ActionKey


@dataclass(slots=True, frozen=True)
class Execute:
    """A gate sends a queued attempt to its upstream, and the call takes effect."""

    gate: str
    key: ActionKey


@dataclass(slots=True, frozen=True)
class Finish:
    """The answer of the upstream reaches its gate, or is lost."""

    gate: str
    key: ActionKey
    lost: bool


@dataclass(slots=True, frozen=True)
class Retry:
    """A home sends the next attempt after a refusal."""

    key: ActionKey
    gate: str


@dataclass(slots=True, frozen=True)
class StopRetrying:
    """A home stops retrying and answers the waiting copies with the last refusal."""

    key: ActionKey


@dataclass(slots=True, frozen=True)
class TimeOut:
    """A home stops waiting for an attempt, as after a pause, a lost link or a deadline."""

    key: ActionKey


@dataclass(slots=True, frozen=True)
class QueryAttempt:
    """A home queries a gate about an attempt whose outcome it does not know."""

    key: ActionKey


@dataclass(slots=True, frozen=True)
class CrashHome:
    """A home crashes."""

    home: str


@dataclass(slots=True, frozen=True)
class CrashGate:
    """A gate crashes, and its next incarnation starts without records."""

    gate: str


@dataclass(slots=True, frozen=True)
class SuspectHome:
    """A node that holds a copy suspects that the home has crashed, correctly or not."""

    copy: int


Step = (
    Arrive
    | Deliver
    | Shed
    | Execute
    | Finish
    | Retry
    | StopRetrying
    | TimeOut
    | QueryAttempt
    | CrashHome
    | CrashGate
    | SuspectHome
)
