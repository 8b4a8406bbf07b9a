"""Records of keyed calls at a gate, which keep any key from running twice.

An attempt that was refused as not run never runs later.
"""

from dataclasses import dataclass, field
from enum import Enum, auto

from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.once.replay import ReplayWindow
from bamboojunction.core.once.sizes import GATE_BYTES_MAX, estimate_record_bytes
from bamboojunction.core.once.windows import OPEN_WINDOWS, WINDOW_SECONDS
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Unknown, UnknownReason

# Twice as long as a home keeps a window open.
RECORD_RETENTION_SECONDS = 2 * WINDOW_SECONDS * OPEN_WINDOWS
HOME_IDLE_SECONDS = 3600.0
# Idle homes are evicted when this many homes are held.
HOMES_BEFORE_EVICTION = 5_000
# Limit on the number of home incarnations that are held plus those that were evicted.
HOMES_SEEN_MAX = 100_000


@dataclass(slots=True, frozen=True)
class AdmitAttempt:
    """Decision to offer the call to admission control."""


@dataclass(slots=True, frozen=True)
class ReplayOutcome:
    """Decision to answer the call with ``outcome`` without running it."""

    outcome: Outcome


class KeyStatus(Enum):
    """What a gate knows about a key or about one attempt of it.

    ``SEALED`` means that it did not run and never will, ``INDETERMINATE`` that the gate cannot
    tell.
    """

    SEALED = auto()
    RUNNING = auto()
    ENDED = auto()
    INDETERMINATE = auto()


@dataclass(slots=True, frozen=True)
class KeyReport:
    """A gate's answer about a key; ``outcome`` is set when the call ended at this gate."""

    status: KeyStatus
    outcome: Outcome | None = None


@dataclass(slots=True)
class GateRecord:
    """A key that a gate is running, has run or has sealed; ``attempt`` is 0 for a sealed key."""

    attempt: int
    outcome: Outcome | None
    bytes_held: int
    ended_at: float = 0.0

    @property
    def is_running(self) -> bool:
        """Return whether the call may still be executing."""
        return self.outcome is None


@dataclass(slots=True)
class HomeRecords:
    """What a gate received from one home incarnation.

    ``newest_expired_window`` is the highest window that a record has expired from, 0 for none.
    """

    replay: ReplayWindow = field(default_factory=ReplayWindow)
    by_key: dict[ActionKey, GateRecord] = field(default_factory=dict)
    newest_expired_window: int = 0
    last_used_at: float = 0.0


class GateRecords:
    """The keyed calls of one gate.

    Each attempt carries a serial number from its home, and the gate accepts each serial number at
    most once. A refused attempt therefore needs no record, and a late duplicate of it can never
    run. A call that ran keeps its outcome for ``RECORD_RETENTION_SECONDS``; afterwards the gate
    answers ``INDETERMINATE`` and never claims that it has not seen the key. Records are not evicted
    to make room: a full gate refuses new calls.
    """

    __slots__ = ("_by_home", "_bytes_held", "_bytes_max", "_ended_by_key", "_evicted_homes")

    def __init__(self, bytes_max: int = GATE_BYTES_MAX):
        self._bytes_max = bytes_max
        self._bytes_held = 0
        self._by_home: dict[str, HomeRecords] = {}
        self._evicted_homes: set[str] = set()
        self._ended_by_key: dict[ActionKey, GateRecord] = {}

    @property
    def bytes_held(self) -> int:
        """Return the estimated size of the records in bytes."""
        return self._bytes_held

    def begin_attempt(
        self, key: ActionKey, attempt: int, now: float
    ) -> AdmitAttempt | ReplayOutcome:
        """Decide whether an attempt may be offered to admission control."""
        self._expire_records(now)
        if key.home.incarnation in self._evicted_homes:
            return ReplayOutcome(Unknown(UnknownReason.STALE_ATTEMPT))
        records = self._records_of(key, now)
        if records is None:
            return ReplayOutcome(NotRun(NotRunReason.FULL))
        existing = records.by_key.get(key)
        if not records.replay.accept(attempt):
            return ReplayOutcome(self._duplicate_outcome(existing, attempt))
        if existing is not None:
            return ReplayOutcome(existing.outcome or Unknown(UnknownReason.STALE_ATTEMPT))
        if key.home.window <= records.newest_expired_window:
            return ReplayOutcome(Unknown(UnknownReason.WINDOW_CLOSED))
        size = estimate_record_bytes(key, None)
        if self._bytes_held + size > self._bytes_max:
            return ReplayOutcome(NotRun(NotRunReason.FULL))
        records.by_key[key] = GateRecord(attempt, None, size)
        self._bytes_held += size
        return AdmitAttempt()

    def discard_attempt(self, key: ActionKey, attempt: int) -> None:
        """Drop the record of an attempt that admission control refused and that will never run."""
        records = self._by_home[key.home.incarnation]
        record = records.by_key.get(key)
        if record is not None and record.attempt == attempt and record.is_running:
            del records.by_key[key]
            self._bytes_held -= record.bytes_held

    def end_attempt(self, key: ActionKey, attempt: int, outcome: Outcome, now: float) -> None:
        """Record the outcome of an attempt that was offered to admission control."""
        if isinstance(outcome, NotRun):
            self.discard_attempt(key, attempt)
            return
        record = self._by_home[key.home.incarnation].by_key[key]
        if record.attempt == attempt and record.is_running:
            self._record_outcome(key, record, outcome, now)

    def query_attempt(self, key: ActionKey, attempt: int, now: float) -> KeyReport:
        """Return what is known about an attempt, and seal the attempt if it has not arrived yet.

        An attempt that arrived but has no record was refused, as long as no record of its window
        has expired.
        """
        records = self._records_of(key, now)
        if records is None:
            return KeyReport(KeyStatus.INDETERMINATE)
        existing = records.by_key.get(key)
        if existing is not None and existing.attempt == attempt:
            return self._report(existing)
        is_new = records.replay.accept(attempt)
        if is_new or key.home.window > records.newest_expired_window:
            return KeyReport(KeyStatus.SEALED)
        return KeyReport(KeyStatus.INDETERMINATE)

    def query_key(self, key: ActionKey) -> KeyReport:
        """Return what is known about a key without sealing it: it may still run later."""
        records = self._by_home.get(key.home.incarnation)
        existing = records.by_key.get(key) if records else None
        if existing is None or existing.attempt == 0:
            return KeyReport(KeyStatus.INDETERMINATE)
        return self._report(existing)

    def seal(self, key: ActionKey, now: float) -> KeyReport:
        """Seal a key, so that it never runs here, and return what is known about it.

        A key that is running, has run or may have an expired record is not sealed, and a full gate
        seals no further keys.
        """
        records = self._records_of(key, now)
        if records is None or key.home.window <= records.newest_expired_window:
            return KeyReport(KeyStatus.INDETERMINATE)
        existing = records.by_key.get(key)
        if existing is not None:
            return self._report(existing)
        size = estimate_record_bytes(key, None)
        if self._bytes_held + size > self._bytes_max:
            return KeyReport(KeyStatus.INDETERMINATE)
        record = GateRecord(0, None, size)
        records.by_key[key] = record
        self._bytes_held += size
        self._record_outcome(key, record, NotRun(NotRunReason.SETTLED_NOT_RUN), now)
        return KeyReport(KeyStatus.SEALED)

    def _report(self, record: GateRecord) -> KeyReport:
        if record.attempt == 0:
            return KeyReport(KeyStatus.SEALED)
        if record.is_running:
            return KeyReport(KeyStatus.RUNNING)
        return KeyReport(KeyStatus.ENDED, record.outcome)

    def _duplicate_outcome(self, existing: GateRecord | None, attempt: int) -> Outcome:
        if existing is not None and existing.attempt == attempt and existing.outcome is not None:
            return existing.outcome
        return Unknown(UnknownReason.STALE_ATTEMPT)

    def _records_of(self, key: ActionKey, now: float) -> HomeRecords | None:
        incarnation = key.home.incarnation
        records = self._by_home.get(incarnation)
        if records is None:
            # The number of homes seen never decreases, so the refused attempt is never run later.
            is_full = len(self._evicted_homes) + len(self._by_home) >= HOMES_SEEN_MAX
            if is_full or incarnation in self._evicted_homes:
                return None
            self._evict_idle_homes(now)
            records = self._by_home[incarnation] = HomeRecords()
        records.last_used_at = now
        return records

    def _record_outcome(
        self, key: ActionKey, record: GateRecord, outcome: Outcome, now: float
    ) -> None:
        size = estimate_record_bytes(key, outcome)
        self._bytes_held += size - record.bytes_held
        record.bytes_held = size
        record.outcome = outcome
        record.ended_at = now
        self._ended_by_key[key] = record

    def _expire_records(self, now: float) -> None:
        while self._ended_by_key:
            key, record = next(iter(self._ended_by_key.items()))
            if now - record.ended_at < RECORD_RETENTION_SECONDS:
                return
            del self._ended_by_key[key]
            records = self._by_home[key.home.incarnation]
            records.newest_expired_window = max(records.newest_expired_window, key.home.window)
            del records.by_key[key]
            self._bytes_held -= record.bytes_held

    def _evict_idle_homes(self, now: float) -> None:
        if len(self._by_home) < HOMES_BEFORE_EVICTION:
            return
        idle = [
            incarnation
            for incarnation, records in self._by_home.items()
            if not records.by_key and now - records.last_used_at >= HOME_IDLE_SECONDS
        ]
        for incarnation in idle:
            del self._by_home[incarnation]
            self._evicted_homes.add(incarnation)
