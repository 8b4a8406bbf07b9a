"""The messages on a link between two nodes.

Each message is encoded as a CBOR array that starts with the tag of its type. Receivers ignore
unknown trailing fields, so a newer node can add fields at the end.
"""

from enum import IntEnum

import msgspec


class Target(IntEnum):
    """The role in which the receiver handles a call: admission gate or home of its key."""

    GATE = 0
    HOME = 1


class Verdict(IntEnum):
    """The kind of outcome that an answer carries."""

    RAN = 0
    NOT_RUN = 1
    UNKNOWN = 2


class Message(msgspec.Struct, array_like=True, gc=False):
    """The base class of all link messages and of the records nested in them."""


class Hello(Message, tag=0):
    """The handshake message of a link.

    The client sends it twice, first with its nonce only, then with its proof. In between, the
    server sends it once with its own nonce and proof.
    """

    instance: str
    incarnation: str
    proof: bytes = b""
    nonce: bytes = b""


class CallRequest(Message, tag=1):
    """A request to serve a call; ``remaining`` is the time to its deadline in seconds.

    ``gate`` names the only gate incarnation that may run this attempt of a keyed call. ``caller``
    is the service of the caller, ``root`` the id of the action at the start of the call chain and
    ``rank`` the rank that a child call inherits, None for none.
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
    """The load report of a gate, nested in an answer.

    ``refused_percent`` is the share of the recent calls that the upstream refused; whole numbers
    keep its encoding short.
    """

    queued: int
    in_flight: int
    limit: int
    level: tuple[tuple[int, float], ...]
    draining: bool
    below: tuple[tuple[str, tuple[tuple[int, float], ...]], ...] = ()
    refused_percent: int = 0


class CallAnswer(Message, tag=2):
    """The answer to a call request; ``reason`` is empty when the call ran.

    ``gate_ms`` is the time spent at the gate; whole milliseconds keep its encoding short.
    ``failed_below`` is set if the call failed after a child call found a service short of room.
    ``calls_below`` holds the services that the run led to, each with its number of calls in tenths.
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
    failed_below: bool = False
    calls_below: tuple[tuple[str, int], ...] = ()


class Cancel(Message, tag=3):
    """The cancellation of a call request whose caller no longer waits for it."""

    request_id: int


class Entry(Message):
    """One instance announcement of the membership view."""

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
    """Announcements that the receiver may not know yet."""

    entries: list[Entry]


class TableUpdate(Message, tag=5):
    """A whole version of the table as CSV text."""

    version: int
    edit_id: str
    text: str


class Digest(Message, tag=6):
    """A digest of the sender's state, so that the receiver can send what the sender lacks.

    ``platform_age`` is the time in seconds since the platform was last reached, negative if never.
    """

    table_version: int
    view_hash: int
    address: str = ""
    platform_age: float = -1.0
    is_answer: bool = False


class PoisonBan(Message, tag=7):
    """A request fingerprint that is banned for ``remaining`` seconds."""

    fingerprint: int
    remaining: float


class PoisonSuspicions(Message, tag=40):
    """The fingerprints of the requests in flight when the upstream of ``instance`` crashed.

    A suspected request may run again, alone, after its hold time. ``remaining`` is how long the
    suspicion lasts. All times are in seconds.
    """

    instance: str
    crash: str
    remaining: float
    fingerprints: list[int]
    holds: list[float]


class PoisonClearance(Message, tag=41):
    """The fingerprint of a request that is no longer suspected.

    ``has_completed`` is set if the request was answered, and not if another one may have crashed
    the upstream.
    """

    fingerprint: int
    has_completed: bool = True


class Heartbeat(Message, tag=8):
    """A liveness probe; the receiver sends it back with ``echo`` set."""

    token: int
    echo: bool = False


class Seal(Message, tag=9):
    """A request to a gate to refuse an action key permanently unless it has already seen it.

    With an ``attempt``, the home asks about that attempt only. Without ``promises``, the gate only
    reports what it knows and may still accept the key later. Only the incarnation that ``gate``
    names may answer.
    """

    request_id: int
    key: str
    attempt: int = 0
    gate: str = ""
    promises: bool = True


class SealAnswer(Message, tag=10):
    """The answer to a seal: the key is sealed, its call is running, or how its call ended.

    None of the three is set when the gate has no record of the key.
    """

    request_id: int
    sealed: bool
    answer: CallAnswer | None = None
    running: bool = False


class ViewHashes(Message, tag=20):
    """The hash of each bucket of the membership view, four bytes each."""

    hashes: bytes


class ViewBuckets(Message, tag=21):
    """All entries of some buckets of the sender's view; the receiver returns what it lacks."""

    buckets: bytes
    entries: list[Entry]


class TableDelta(Message, tag=22):
    """The rows that changed between two versions of the table, each as its cells by column."""

    base_version: int
    version: int
    edit_id: str
    changed: list[dict[str, str]]
    removed: list[str]
    content_hash: int


class TableRequest(Message, tag=23):
    """A request for the whole table; ``version`` is the one that the sender holds.

    ``address`` is where to send the answer, for a receiver that may not know the sender.
    """

    version: int
    address: str = ""


class Silence(Message, tag=24):
    """A report that an instance does not answer the sender."""

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
