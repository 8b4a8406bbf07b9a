"""The messages and steps of the modelled protocol."""

from dataclasses import dataclass

from bamboojunction.core.once.gate_records import Testimony
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.outcomes import Outcome


@dataclass(slots=True, frozen=True)
class Forward:
    """Carry a copy of a keyed call from the node that received it to the home."""

    copy: int


@dataclass(slots=True, frozen=True)
class ForwardAnswer:
    """Carry the home's answer back to the node that forwarded a copy."""

    copy: int
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class GateCall:
    """Carry an attempt from a home to a gate incarnation."""

    key: ActionKey
    attempt: int
    gate: str


@dataclass(slots=True, frozen=True)
class GateAnswer:
    """Carry the outcome of an attempt back to its home."""

    key: ActionKey
    attempt: int
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class Ask:
    """Carry a home's question about an attempt whose end it does not know."""

    key: ActionKey
    attempt: int
    gate: str


@dataclass(slots=True, frozen=True)
class AskAnswer:
    """Carry what the gate told of an attempt."""

    key: ActionKey
    attempt: int
    testimony: Testimony


@dataclass(slots=True, frozen=True)
class SealCall:
    """Carry a seal from the node that holds a copy of a lost home's key."""

    copy: int
    gate: str


@dataclass(slots=True, frozen=True)
class SealTestimony:
    """Carry what a gate told of a sealed key."""

    copy: int
    gate: str
    testimony: Testimony


Message = (
    Forward | ForwardAnswer | GateCall | GateAnswer | Ask | AskAnswer | SealCall | SealTestimony
)


@dataclass(slots=True, frozen=True)
class Arrive:
    """Let a caller's copy arrive at its node."""

    copy: int


@dataclass(slots=True, frozen=True)
class Deliver:
    """Deliver a message; a kept one may be delivered again."""

    message: Message
    keep: bool


@dataclass(slots=True, frozen=True)
class Shed:
    """Let a gate's admission refuse a queued attempt."""

    gate: str
    key: ActionKey


@dataclass(slots=True, frozen=True)
class Execute:
    """Let a gate send a queued attempt to its upstream: the effect happens."""

    gate: str
    key: ActionKey


@dataclass(slots=True, frozen=True)
class Finish:
    """Let the upstream's answer reach its gate, or be lost."""

    gate: str
    key: ActionKey
    lost: bool


@dataclass(slots=True, frozen=True)
class Retry:
    """Let a home send the next attempt after a refusal."""

    key: ActionKey
    gate: str


@dataclass(slots=True, frozen=True)
class GiveUp:
    """Let a home pass a refusal on to the callers."""

    key: ActionKey


@dataclass(slots=True, frozen=True)
class TimeOut:
    """Let a home give up waiting for an attempt, as after a pause, a cut or a deadline."""

    key: ActionKey


@dataclass(slots=True, frozen=True)
class Doubt:
    """Let a home ask a gate about an unknown attempt."""

    key: ActionKey


@dataclass(slots=True, frozen=True)
class LoseHome:
    """Crash a home."""

    home: str


@dataclass(slots=True, frozen=True)
class LoseGate:
    """Crash a gate; its next incarnation knows nothing."""

    gate: str


@dataclass(slots=True, frozen=True)
class SuspectHome:
    """Let the node that holds a copy take the home for gone, rightly or not."""

    copy: int


Step = (
    Arrive
    | Deliver
    | Shed
    | Execute
    | Finish
    | Retry
    | GiveUp
    | TimeOut
    | Doubt
    | LoseHome
    | LoseGate
    | SuspectHome
)
