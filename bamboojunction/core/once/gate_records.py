"""What a gate remembers of keyed calls, so that none runs twice and every refusal stays true."""

from dataclasses import dataclass, field
from enum import Enum, auto

from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.once.replay import ReplayWindow
from bamboojunction.core.once.sizes import GATE_BYTES_MAX, record_bytes
from bamboojunction.core.once.windows import WINDOW_SECONDS, WINDOWS_OPEN
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Unknown, UnknownReason

# Records are kept for twice as long as a home keeps a window open.
RECORD_SECONDS = 2 * WINDOW_SECONDS * WINDOWS_OPEN
HOME_SILENT_SECONDS = 3600.0
HOMES_MAX = 5_000
CLOSED_HOMES_MAX = 100_000


@dataclass(slots=True, frozen=True)
class Admit:
    """Tell the driver to offer the call to admission."""


@dataclass(slots=True, frozen=True)
class Replay:
    """Tell the driver to answer without running anything."""

    outcome: Outcome


class Knowledge(Enum):
    """Say what a gate knows of a key or of one attempt of it."""

    SEALED = auto()
    RUNNING = auto()
    ENDED = auto()
    FORGOTTEN = auto()


@dataclass(slots=True, frozen=True)
class Testimony:
    """Answer a question about a key; ``outcome`` is set when the call ended here."""

    knowledge: Knowledge
    outcome: Outcome | None = None


@dataclass(slots=True)
class GateRecord:
    """Hold one key that a gate runs, ran or sealed; an attempt of 0 stands for a seal."""

    attempt: int
    outcome: Outcome | None
    bytes_held: int
    ended_at: float = 0.0

    @property
    def running(self) -> bool:
        """Return whether the call may still be executing."""
        return self.outcome is None


@dataclass(slots=True)
class HomeRecords:
    """Hold what came from one home incarnation."""

    replay: ReplayWindow = field(default_factory=ReplayWindow)
    by_key: dict[ActionKey, GateRecord] = field(default_factory=dict)
    forgotten_window: int = 0
    last_used: float = 0.0


class GateRecords:
    """Remember the keyed calls of one gate.

    Each attempt carries a serial of its home, and a gate takes each serial at most once. A refused
    attempt therefore costs no memory, and a late copy of it can never run. Calls that ran keep
    their outcome for ``RECORD_SECONDS``; afterwards the gate says that it has forgotten, never that
    it has not seen the key. Nothing is forgotten to make room: a full gate refuses new calls.
    """

    __slots__ = ("_by_home", "_bytes_held", "_bytes_max", "_closed_homes", "_ended")

    def __init__(self, bytes_max: int = GATE_BYTES_MAX):
        self._bytes_max = bytes_max
        self._bytes_held = 0
        self._by_home: dict[str, HomeRecords] = {}
        self._closed_homes: set[str] = set()
        self._ended: dict[ActionKey, GateRecord] = {}

    @property
    def bytes_held(self) -> int:
        """Return how many bytes the records are counted as."""
        return self._bytes_held

    def admit(self, key: ActionKey, attempt: int, now: float) -> Admit | Replay:
        """Decide whether an attempt may be offered to admission."""
        self._forget_old(now)
        if key.home.incarnation in self._closed_homes:
            return Replay(Unknown(UnknownReason.STALE_ATTEMPT))
        records = self._records_of(key, now)
        if records is None:
            return Replay(NotRun(NotRunReason.FULL))
        known = records.by_key.get(key)
        if not records.replay.accept(attempt):
            return Replay(self._met_before(known, attempt))
        if known is not None:
            return Replay(known.outcome or Unknown(UnknownReason.STALE_ATTEMPT))
        if key.home.window <= records.forgotten_window:
            return Replay(Unknown(UnknownReason.WINDOW))
        size = record_bytes(key, None)
        if self._bytes_held + size > self._bytes_max:
            return Replay(NotRun(NotRunReason.FULL))
        records.by_key[key] = GateRecord(attempt, None, size)
        self._bytes_held += size
        return Admit()

    def refused(self, key: ActionKey, attempt: int) -> None:
        """Record that admission refused an admitted attempt: it never ran and never will."""
        records = self._by_home[key.home.incarnation]
        record = records.by_key.get(key)
        if record is not None and record.attempt == attempt and record.running:
            del records.by_key[key]
            self._bytes_held -= record.bytes_held

    def ended(self, key: ActionKey, attempt: int, outcome: Outcome, now: float) -> None:
        """Record how a started attempt ended."""
        if isinstance(outcome, NotRun):
            self.refused(key, attempt)
            return
        record = self._by_home[key.home.incarnation].by_key[key]
        if record.attempt == attempt and record.running:
            self._end(key, record, outcome, now)

    def ask(self, key: ActionKey, attempt: int, now: float) -> Testimony:
        """Tell a home about one of its attempts; unless it ran here, it never will.

        An attempt that was met but left no record was refused, as long as no record of its window
        was forgotten.
        """
        records = self._records_of(key, now)
        if records is None:
            return Testimony(Knowledge.FORGOTTEN)
        known = records.by_key.get(key)
        if known is not None and known.attempt == attempt:
            return self._tell(known)
        is_new = records.replay.accept(attempt)
        if is_new or key.home.window > records.forgotten_window:
            return Testimony(Knowledge.SEALED)
        return Testimony(Knowledge.FORGOTTEN)

    def peek(self, key: ActionKey) -> Testimony:
        """Tell what ran here under a key, without a promise about later."""
        records = self._by_home.get(key.home.incarnation)
        known = records.by_key.get(key) if records else None
        if known is None or known.attempt == 0:
            return Testimony(Knowledge.FORGOTTEN)
        return self._tell(known)

    def seal(self, key: ActionKey, now: float) -> Testimony:
        """Refuse a key for good, unless it runs or ran here or that may be forgotten."""
        records = self._records_of(key, now)
        if records is None or key.home.window <= records.forgotten_window:
            return Testimony(Knowledge.FORGOTTEN)
        known = records.by_key.get(key)
        if known is not None:
            return self._tell(known)
        size = record_bytes(key, None)
        if self._bytes_held + size > self._bytes_max:
            return Testimony(Knowledge.FORGOTTEN)
        record = GateRecord(0, None, size)
        records.by_key[key] = record
        self._bytes_held += size
        self._end(key, record, NotRun(NotRunReason.SETTLED), now)
        return Testimony(Knowledge.SEALED)

    def _tell(self, record: GateRecord) -> Testimony:
        if record.attempt == 0:
            return Testimony(Knowledge.SEALED)
        if record.running:
            return Testimony(Knowledge.RUNNING)
        return Testimony(Knowledge.ENDED, record.outcome)

    def _met_before(self, known: GateRecord | None, attempt: int) -> Outcome:
        if known is not None and known.attempt == attempt and known.outcome is not None:
            return known.outcome
        return Unknown(UnknownReason.STALE_ATTEMPT)

    def _records_of(self, key: ActionKey, now: float) -> HomeRecords | None:
        incarnation = key.home.incarnation
        records = self._by_home.get(incarnation)
        if records is None:
            # A full set of homes never empties, so that this refusal stays true.
            full = len(self._closed_homes) + len(self._by_home) >= CLOSED_HOMES_MAX
            if full or incarnation in self._closed_homes:
                return None
            self._close_silent_homes(now)
            records = self._by_home[incarnation] = HomeRecords()
        records.last_used = now
        return records

    def _end(self, key: ActionKey, record: GateRecord, outcome: Outcome, now: float) -> None:
        size = record_bytes(key, outcome)
        self._bytes_held += size - record.bytes_held
        record.bytes_held = size
        record.outcome = outcome
        record.ended_at = now
        self._ended[key] = record

    def _forget_old(self, now: float) -> None:
        while self._ended:
            key, record = next(iter(self._ended.items()))
            if now - record.ended_at < RECORD_SECONDS:
                return
            del self._ended[key]
            records = self._by_home[key.home.incarnation]
            records.forgotten_window = max(records.forgotten_window, key.home.window)
            del records.by_key[key]
            self._bytes_held -= record.bytes_held

    def _close_silent_homes(self, now: float) -> None:
        if len(self._by_home) < HOMES_MAX:
            return
        silent = [
            incarnation
            for incarnation, records in self._by_home.items()
            if not records.by_key and now - records.last_used >= HOME_SILENT_SECONDS
        ]
        for incarnation in silent:
            del self._by_home[incarnation]
            self._closed_homes.add(incarnation)
