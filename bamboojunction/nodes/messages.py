"""The messages on a link between two nodes.

Each message is a CBOR array that starts with its tag. Receivers ignore trailing fields that they do
not know, so a newer node can add fields at the end.
"""

from enum import IntEnum

import msgspec


class Target(IntEnum):
    """Say in which role the receiver handles a call."""

    GATE = 0
    HOME = 1


class Verdict(IntEnum):
    """Say which outcome an answer carries."""

    RAN = 0
    NOT_RUN = 1
    UNKNOWN = 2


class Message(msgspec.Struct, array_like=True, gc=False):
    """Be the base of all messages."""


class Hello(Message, tag=0):
    """Open a link; both sides send it first."""

    instance: str
    incarnation: str
    proof: bytes = b""
    nonce: bytes = b""


class CallRequest(Message, tag=1):
    """Ask the receiver to serve a call; ``remaining`` is the time left in seconds.

    ``gate`` names the only gate incarnation that may run the attempt of a keyed call.
    """

    request_id: int
    target: int
    action: str
    kind: str
    service: str
    remaining: float
    allowance: int
    depth: int
    key: str
    attempt: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    traceparent: str
    gate: str = ""
    caller: str = ""
    root: str = ""
    rank: int | None = None


class Load(Message):
    """Carry a gate's load report."""

    queued: int
    in_flight: int
    limit: int
    level: tuple[tuple[int, float], ...]
    draining: bool
    below: tuple[tuple[str, tuple[tuple[int, float], ...]], ...] = ()


class CallAnswer(Message, tag=2):
    """Answer a call request; ``reason`` is empty when the call ran.

    ``gate_ms`` is the time at the gate in whole milliseconds, which take few bytes.
    """

    request_id: int
    verdict: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    reason: str
    retry_after: float
    allowance_left: int
    service_seconds: float
    load: Load | None
    gate_ms: int = 0


class Cancel(Message, tag=3):
    """Withdraw a call request whose caller went away."""

    request_id: int


class Entry(Message):
    """Carry one announcement of the membership view."""

    instance: str
    incarnation: str
    service: str
    data_centre: str
    region: str
    address: str
    started_at: float
    sequence: int
    state: str
    caller_address: str = ""


class ViewDelta(Message, tag=4):
    """Carry announcements that the receiver may not know."""

    entries: list[Entry]


class TableUpdate(Message, tag=5):
    """Carry a whole version of the table as comma-separated text."""

    version: int
    edit_id: str
    text: str


class Digest(Message, tag=6):
    """Tell what the sender knows, so that the receiver sends what is missing.

    ``platform_age`` is the time in seconds since the platform was last reached, negative if never.
    """

    table_version: int
    view_hash: int
    address: str = ""
    platform_age: float = -1.0
    is_answer: bool = False


class PoisonBan(Message, tag=7):
    """Tell of a banned fingerprint; ``remaining`` is in seconds."""

    fingerprint: int
    remaining: float


class PoisonSuspicions(Message, tag=40):
    """Tell of requests in flight at a crash; each may run again, alone, after its hold."""

    instance: str
    crash: str
    remaining: float
    fingerprints: list[int]
    holds: list[float]


class PoisonClearance(Message, tag=41):
    """Tell that a suspected request is innocent."""

    fingerprint: int


class Heartbeat(Message, tag=8):
    """Show that the sender lives; the receiver sends it back with ``echo`` set."""

    token: int
    echo: bool = False


class Seal(Message, tag=9):
    """Ask a gate to refuse a key for good unless it has already seen it.

    With an ``attempt``, the home asks about that attempt only. Without ``promises``, the gate tells
    what it knows and binds itself to nothing. Only the incarnation that ``gate`` names may answer.
    """

    request_id: int
    key: str
    attempt: int = 0
    gate: str = ""
    promises: bool = True


class SealAnswer(Message, tag=10):
    """Answer a seal: sealed now, running, or how the call ended; none of these when forgotten."""

    request_id: int
    sealed: bool
    answer: CallAnswer | None = None
    running: bool = False


class ViewHashes(Message, tag=20):
    """Carry the hash of each bucket of the membership view, four bytes each."""

    hashes: bytes


class ViewBuckets(Message, tag=21):
    """Carry all entries of some buckets and ask for those that the sender lacks."""

    buckets: bytes
    entries: list[Entry]


class TableDelta(Message, tag=22):
    """Carry the rows that changed between two versions, each as its cells by column."""

    base_version: int
    version: int
    edit_id: str
    changed: list[dict[str, str]]
    removed: list[str]
    content_hash: int


class TableRequest(Message, tag=23):
    """Ask for the whole table; ``version`` is the one that the sender holds.

    ``address`` is where the answer goes when the receiver may not know the sender.
    """

    version: int
    address: str = ""


class Silence(Message, tag=24):
    """Report that an instance does not answer the sender."""

    instance: str
    incarnation: str


AnyMessage = (
    Hello
    | CallRequest
    | CallAnswer
    | Cancel
    | ViewDelta
    | TableUpdate
    | Digest
    | PoisonBan
    | PoisonSuspicions
    | PoisonClearance
    | Heartbeat
    | Seal
    | SealAnswer
    | ViewHashes
    | ViewBuckets
    | TableDelta
    | TableRequest
    | Silence
)
