"""The home of action keys: the node that serialises the attempts of each of its keys."""

from dataclasses import dataclass
from enum import Enum, auto

from bamboojunction.core.once.keys import ActionKey, HomeId
from bamboojunction.core.once.sizes import HOME_BYTES_MAX, estimate_record_bytes
from bamboojunction.core.once.windows import KeyWindow, KeyWindows
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Ran, Unknown, UnknownReason


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Decision to send a new attempt of the key to one gate.

    ``attempt`` is a serial number that increases across all keys of the home. ``allowed_gates``
    names the gate incarnations that the attempt may be sent to; None allows any.
    """

    attempt: int
    allowed_gates: frozenset[str] | None = None


@dataclass(slots=True, frozen=True)
class JoinAttempt:
    """Decision to wait for the attempt that is in flight."""


@dataclass(slots=True, frozen=True)
class AnswerRecorded:
    """Decision to answer with ``outcome`` without starting an attempt."""

    outcome: Outcome


HomeDecision = StartAttempt | JoinAttempt | AnswerRecorded


class KeyState(Enum):
    """What the home knows about the last attempt of a key."""

    NOT_RUN = auto()
    RUNNING = auto()
    RAN = auto()
    UNKNOWN = auto()


@dataclass(slots=True)
class KeyRecord:
    """The state of one key at its home.

    ``attempt`` is the serial number of the last attempt and ``gate`` the gate incarnation that it
    was sent to, empty until it is sent. ``caller_attempt`` is the highest attempt number given by a
    caller that an attempt has served. ``fingerprint`` is a hash of the request, which detects
    another request under the same key.
    """

    state: KeyState
    attempt: int
    gate: str = ""
    caller_attempt: int = 0
    fingerprint: int = 0
    outcome: Outcome | None = None
    bytes_held: int = 0


@dataclass(slots=True, frozen=True)
class UnsettledAttempt:
    """An attempt with an unknown outcome, and the gate incarnation that may know it."""

    attempt: int
    gate: str


class Home:
    """The owner of all action keys that name this node incarnation.

    Only the home starts attempts of its keys, and only when every earlier attempt of the key is
    settled as not run. It never evicts a key of an open window. When its memory is full, it refuses
    all further new keys of the window as not run; that is correct because a key of an open window
    without a record was never started. While ``is_draining``, it starts only child calls of actions
    that are in progress, and still answers for recorded keys.
    """

    __slots__ = (
        "_allowed_gates",
        "_bytes_held",
        "_bytes_max",
        "_last_attempt",
        "_windows",
        "home_id",
        "is_draining",
    )

    def __init__(
        self,
        instance: str,
        incarnation: str,
        bytes_max: int = HOME_BYTES_MAX,
        windows: KeyWindows | None = None,
    ):
        self.home_id = HomeId(instance, incarnation, 1)
        self._windows: KeyWindows[KeyRecord] = windows or KeyWindows()
        self._bytes_max = bytes_max
        self._bytes_held = 0
        self._last_attempt = 0
        self._allowed_gates: frozenset[str] | None = None
        self.is_draining = False

    def set_allowed_gates(self, gates: frozenset[str] | None, now: float) -> None:
        """Set the gate incarnations that windows opened from now on may use; None allows any."""
        self._allowed_gates = gates
        self._advance_windows(now)

    def current(self, now: float) -> HomeId:
        """Return the home id, with the newest window, that new keys must name."""
        self._advance_windows(now)
        return self.home_id

    def gates_of(self, window_number: int) -> frozenset[str] | None:
        """Return the gates that an open window may use, or None when it may use any."""
        window = self._windows.find(window_number)
        return window.gates if window else None

    def begin(
        self, key: ActionKey, now: float, caller_attempt: int = 0, fingerprint: int = 0
    ) -> HomeDecision:
        """Decide what happens to a keyed call, which may be a duplicate of an earlier one.

        ``caller_attempt`` is the attempt number given by the caller, 0 for none. A call whose
        number an earlier attempt has already served never starts another attempt. A call with
        another ``fingerprint`` than the first call of the key is answered as key reuse.
        """
        self._advance_windows(now)
        if key.home.instance != self.home_id.instance:
            return AnswerRecorded(Unknown(UnknownReason.LOST_HOME))
        if key.home.incarnation != self.home_id.incarnation:
            return AnswerRecorded(Unknown(UnknownReason.LOST_HOME))
        window = self._windows.find(key.home.window)
        if window is None:
            return AnswerRecorded(self._outcome_without_window(key.home.window))
        record = window.by_key.get(key.nonce)
        if record is None:
            record = KeyRecord(KeyState.NOT_RUN, 0, "", caller_attempt, fingerprint)
            return self._start_first_attempt(window, key, record)
        if record.fingerprint != fingerprint:
            return AnswerRecorded(Unknown(UnknownReason.KEY_REUSED))
        match record.state:
            case KeyState.RUNNING:
                record.caller_attempt = max(record.caller_attempt, caller_attempt)
                return JoinAttempt()
            case KeyState.RAN | KeyState.UNKNOWN:
                return AnswerRecorded(record.outcome)
        is_refused_by_drain = self.is_draining and not key.is_child
        if is_refused_by_drain or 0 < caller_attempt <= record.caller_attempt:
            return AnswerRecorded(record.outcome)
        record.caller_attempt = max(record.caller_attempt, caller_attempt)
        return self._start_attempt(window, record)

    def record_gate(self, key: ActionKey, attempt: int, gate: str) -> None:
        """Record the gate incarnation that an attempt is about to be sent to."""
        record = self._record(key)
        if record is not None and record.attempt == attempt:
            record.gate = gate

    def retry(self, key: ActionKey, attempt: int, refusal: NotRun, now: float) -> HomeDecision:
        """Settle an attempt as not run and start the next one for the same waiting calls."""
        self.record_outcome(key, attempt, refusal, now)
        window = self._windows.find(key.home.window)
        record = self._record(key)
        if window is None or record is None:
            return AnswerRecorded(refusal)
        match record.state:
            case KeyState.RUNNING:
                return JoinAttempt()
            case KeyState.NOT_RUN:
                return self._start_attempt(window, record)
        return AnswerRecorded(record.outcome)

    def record_outcome(self, key: ActionKey, attempt: int, outcome: Outcome, now: float) -> None:
        """Record the outcome of the last attempt, which may replace an unknown one."""
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
        self._update_bytes_held(record, estimate_record_bytes(key, outcome))

    def unsettled_attempt(self, key: ActionKey) -> UnsettledAttempt | None:
        """Return the attempt whose unknown outcome its gate should be asked for, or None."""
        record = self._record(key)
        if record is None or record.state is not KeyState.UNKNOWN or not record.gate:
            return None
        return UnsettledAttempt(record.attempt, record.gate)

    @property
    def bytes_held(self) -> int:
        """Return the estimated size of the records in bytes."""
        return self._bytes_held

    def _record(self, key: ActionKey) -> KeyRecord | None:
        window = self._windows.find(key.home.window)
        if window is None or key.home.incarnation != self.home_id.incarnation:
            return None
        return window.by_key.get(key.nonce)

    def _start_first_attempt(
        self, window: KeyWindow, key: ActionKey, record: KeyRecord
    ) -> HomeDecision:
        if self.is_draining and not key.is_child:
            return AnswerRecorded(NotRun(NotRunReason.DRAINING))
        size = estimate_record_bytes(key, None)
        window.is_full |= self._bytes_held + size > self._bytes_max
        if window.is_full:
            return AnswerRecorded(
                NotRun(NotRunReason.FULL, retry_after=self._windows.window_seconds)
            )
        self._update_bytes_held(record, size)
        window.by_key[key.nonce] = record
        return self._start_attempt(window, record)

    def _start_attempt(self, window: KeyWindow, record: KeyRecord) -> StartAttempt:
        self._last_attempt += 1
        record.state = KeyState.RUNNING
        record.attempt = self._last_attempt
        record.gate = ""
        return StartAttempt(self._last_attempt, window.gates)

    def _outcome_without_window(self, window_number: int) -> Outcome:
        if self._windows.is_closed(window_number):
            return Unknown(UnknownReason.WINDOW_CLOSED)
        return NotRun(NotRunReason.KEY_INVALID)

    def _advance_windows(self, now: float) -> None:
        for window in self._windows.advance(now, self._allowed_gates):
            self._bytes_held -= sum(record.bytes_held for record in window.by_key.values())
        number = self._windows.newest.number
        if number != self.home_id.window:
            self.home_id = HomeId(self.home_id.instance, self.home_id.incarnation, number)

    def _update_bytes_held(self, record: KeyRecord, size: int) -> None:
        self._bytes_held += size - record.bytes_held
        record.bytes_held = size
