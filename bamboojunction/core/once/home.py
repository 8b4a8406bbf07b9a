"""The home of action keys: serialises the attempts of each key."""

from dataclasses import dataclass
from enum import Enum, auto

from bamboojunction.core.once.keys import ActionKey, HomeId
from bamboojunction.core.once.sizes import HOME_BYTES_MAX, record_bytes
from bamboojunction.core.once.windows import Window, Windows
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Ran, Unknown, UnknownReason


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Tell the driver to send this attempt of the key to one gate.

    ``attempt`` is a serial that grows over all keys of the home. ``gates`` names the gate
    incarnations that the attempt may use; None sets no bound.
    """

    attempt: int
    gates: frozenset[str] | None = None


@dataclass(slots=True, frozen=True)
class JoinAttempt:
    """Tell the driver to wait for the attempt that is under way."""


@dataclass(slots=True, frozen=True)
class Answered:
    """Give the recorded outcome."""

    outcome: Outcome


HomeDecision = StartAttempt | JoinAttempt | Answered


class KeyState(Enum):
    """Say what the home knows of a key."""

    NOT_RUN = auto()
    RUNNING = auto()
    RAN = auto()
    UNKNOWN = auto()


@dataclass(slots=True)
class KeyRecord:
    """Hold what the home knows of one key.

    ``attempt`` is the serial of the last attempt and ``gate`` the gate incarnation that it was sent
    to, empty while it was sent nowhere. ``caller_attempt`` is the highest of the callers' own
    numbers that an attempt was started for. ``fingerprint`` tells the request from another one that
    was given the same key.
    """

    state: KeyState
    attempt: int
    gate: str = ""
    caller_attempt: int = 0
    fingerprint: int = 0
    outcome: Outcome | None = None
    bytes_held: int = 0


@dataclass(slots=True, frozen=True)
class Doubt:
    """Name the attempt whose end the home does not know, and the gate that may tell."""

    attempt: int
    gate: str


class Home:
    """Own the keys that name this incarnation.

    Only this object starts attempts of its keys, and it starts one only when every earlier attempt
    of the key is settled as not run. It never forgets a key of an open window: when its memory is
    full it refuses the new keys of a window from then on, which is true of them because an
    unrecorded key of an open window was never started. While ``is_draining`` it starts only the
    steps of actions that are under way, and still answers for the keys that it knows.
    """

    __slots__ = (
        "_bytes_held",
        "_bytes_max",
        "_gates",
        "_serial",
        "_windows",
        "home_id",
        "is_draining",
    )

    def __init__(
        self,
        instance: str,
        incarnation: str,
        bytes_max: int = HOME_BYTES_MAX,
        windows: Windows | None = None,
    ):
        self.home_id = HomeId(instance, incarnation, 1)
        self._windows: Windows[KeyRecord] = windows or Windows()
        self._bytes_max = bytes_max
        self._bytes_held = 0
        self._serial = 0
        self._gates: frozenset[str] | None = None
        self.is_draining = False

    def use_gates(self, gates: frozenset[str] | None, now: float) -> None:
        """Set the gate incarnations that the windows opened from now on may use."""
        self._gates = gates
        self._advance(now)

    def current(self, now: float) -> HomeId:
        """Return the home that new keys name."""
        self._advance(now)
        return self.home_id

    def gates_of(self, number: int) -> frozenset[str] | None:
        """Return the gates that an open window may use, or None when nothing bounds them."""
        window = self._windows.find(number)
        return window.gates if window else None

    def begin(
        self, key: ActionKey, now: float, caller_attempt: int = 0, fingerprint: int = 0
    ) -> HomeDecision:
        """Decide what a copy of a keyed call does.

        ``caller_attempt`` is the number that the caller gave to this sending of the key, 0 for
        none. A copy whose number an earlier attempt already served never starts another one. A
        request with another ``fingerprint`` than the key's first one gets no answer of the key.
        """
        self._advance(now)
        if key.home.instance != self.home_id.instance:
            return Answered(Unknown(UnknownReason.LOST_HOME))
        if key.home.incarnation != self.home_id.incarnation:
            return Answered(Unknown(UnknownReason.LOST_HOME))
        window = self._windows.find(key.home.window)
        if window is None:
            return Answered(self._outside(key.home.window))
        record = window.by_key.get(key.nonce)
        if record is None:
            record = KeyRecord(KeyState.NOT_RUN, 0, "", caller_attempt, fingerprint)
            return self._first_attempt(window, key, record)
        if record.fingerprint != fingerprint:
            return Answered(Unknown(UnknownReason.KEY_REUSED))
        match record.state:
            case KeyState.RUNNING:
                record.caller_attempt = max(record.caller_attempt, caller_attempt)
                return JoinAttempt()
            case KeyState.RAN | KeyState.UNKNOWN:
                return Answered(record.outcome)
        is_refused = self.is_draining and not key.is_child
        if is_refused or 0 < caller_attempt <= record.caller_attempt:
            return Answered(record.outcome)
        record.caller_attempt = max(record.caller_attempt, caller_attempt)
        return self._start(window, record)

    def sent(self, key: ActionKey, attempt: int, gate: str) -> None:
        """Record which gate incarnation an attempt is about to be sent to."""
        record = self._record(key)
        if record is not None and record.attempt == attempt:
            record.gate = gate

    def resend(self, key: ActionKey, attempt: int, refusal: NotRun, now: float) -> HomeDecision:
        """Settle an attempt as not run and start the next one for the same copies."""
        self.settle(key, attempt, refusal, now)
        window = self._windows.find(key.home.window)
        record = self._record(key)
        if window is None or record is None:
            return Answered(refusal)
        match record.state:
            case KeyState.RUNNING:
                return JoinAttempt()
            case KeyState.NOT_RUN:
                return self._start(window, record)
        return Answered(record.outcome)

    def settle(self, key: ActionKey, attempt: int, outcome: Outcome, now: float) -> None:
        """Record how an attempt ended, or what its gate told later of an unknown one."""
        record = self._record(key)
        if record is None or record.attempt != attempt:
            return
        if record.state not in (KeyState.RUNNING, KeyState.UNKNOWN):
            return
        record.outcome = outcome
        match outcome:
            case Ran():
                record.state = KeyState.RAN
            case NotRun():
                record.state = KeyState.NOT_RUN
            case Unknown():
                record.state = KeyState.UNKNOWN
        self._hold(record, record_bytes(key, outcome))

    def doubt(self, key: ActionKey) -> Doubt | None:
        """Return the attempt that its gate should be asked about, or None."""
        record = self._record(key)
        if record is None or record.state is not KeyState.UNKNOWN or not record.gate:
            return None
        return Doubt(record.attempt, record.gate)

    @property
    def bytes_held(self) -> int:
        """Return how many bytes the records are counted as."""
        return self._bytes_held

    def _record(self, key: ActionKey) -> KeyRecord | None:
        window = self._windows.find(key.home.window)
        if window is None or key.home.incarnation != self.home_id.incarnation:
            return None
        return window.by_key.get(key.nonce)

    def _first_attempt(self, window: Window, key: ActionKey, record: KeyRecord) -> HomeDecision:
        if self.is_draining and not key.is_child:
            return Answered(NotRun(NotRunReason.DRAINING))
        size = record_bytes(key, None)
        window.is_full |= self._bytes_held + size > self._bytes_max
        if window.is_full:
            return Answered(NotRun(NotRunReason.FULL, retry_after=self._windows.window_seconds))
        self._hold(record, size)
        window.by_key[key.nonce] = record
        return self._start(window, record)

    def _start(self, window: Window, record: KeyRecord) -> StartAttempt:
        self._serial += 1
        record.state = KeyState.RUNNING
        record.attempt = self._serial
        record.gate = ""
        return StartAttempt(self._serial, window.gates)

    def _outside(self, number: int) -> Outcome:
        if self._windows.is_closed(number):
            return Unknown(UnknownReason.WINDOW)
        return NotRun(NotRunReason.KEY_INVALID)

    def _advance(self, now: float) -> None:
        for window in self._windows.advance(now, self._gates):
            self._bytes_held -= sum(record.bytes_held for record in window.by_key.values())
        number = self._windows.last.number
        if number != self.home_id.window:
            self.home_id = HomeId(self.home_id.instance, self.home_id.incarnation, number)

    def _hold(self, record: KeyRecord, size: int) -> None:
        self._bytes_held += size - record.bytes_held
        record.bytes_held = size
