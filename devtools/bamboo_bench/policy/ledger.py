"""Records of a run, from which the scenarios compute their measurements."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Window:
    """A named span of virtual time, in seconds."""

    name: str
    start: float
    end: float

    @property
    def seconds(self) -> float:
        """Return the length of the window."""
        return self.end - self.start


@dataclass(slots=True)
class RequestRecord:
    """One request of a client, with the result of all of its tries."""

    kind: str
    rank: int
    arrived_at: float
    deadline: float
    body: bytes = b""
    finished_at: float = 0.0
    succeeded: bool = False
    tries: int = 0
    executions: int = 0

    @property
    def latency_seconds(self) -> float:
        """Return the seconds from arrival to the end of the last try."""
        return self.finished_at - self.arrived_at


@dataclass(slots=True)
class TryRecord:
    """One try of a client's request, with the slot time that it took at every service.

    ``refused`` means that the client was told "not run". ``unsettled_spans`` holds the service,
    start and end of each successful execution until the try ends; only then is it known whether
    that slot time was useful.
    """

    rank: int
    kind: str
    ended: bool = False
    refused: bool = False
    executions_by_service: dict[str, int] = field(default_factory=dict)
    unsettled_spans: list[tuple[str, float, float]] = field(default_factory=list)


@dataclass(slots=True)
class SlotUsage:
    """The slot seconds spent at one service within one window."""

    useful_seconds: float = 0.0
    wasted_seconds: float = 0.0
    useful_seconds_by_rank: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class CallCounts:
    """A snapshot of the counters by service."""

    first_attempts: dict[str, int]
    attempts: dict[str, int]
    executions: dict[str, int]


class Ledger:
    """The requests, tries, counters and slot time of one run."""

    __slots__ = (
        "_snapshots",
        "_usage",
        "attempts_by_service",
        "executions_by_service",
        "first_attempts_by_service",
        "requests",
        "tries",
        "windows",
    )

    def __init__(self, windows: list[Window]):
        self.windows = windows
        self.requests: list[RequestRecord] = []
        self.tries: list[TryRecord] = []
        self.attempts_by_service: dict[str, int] = {}
        self.executions_by_service: dict[str, int] = {}
        self.first_attempts_by_service: dict[str, int] = {}
        self._snapshots: dict[str, CallCounts] = {}
        self._usage: dict[tuple[str, str], SlotUsage] = {}

    def usage(self, window: str, service: str) -> SlotUsage:
        """Return the slot time at a service within a window."""
        return self._usage.setdefault((window, service), SlotUsage())

    def window(self, name: str) -> Window:
        """Return the window with a name."""
        return next(window for window in self.windows if window.name == name)

    def snapshot_counts(self, name: str) -> None:
        """Save the current counts as ``name``; a span ends at the snapshot ``name`` + "_end"."""
        self._snapshots[name] = CallCounts(
            dict(self.first_attempts_by_service),
            dict(self.attempts_by_service),
            dict(self.executions_by_service),
        )

    def executions_per_first_attempt(self, name: str) -> float:
        """Return the ratio of executions to first attempts between two snapshots."""
        start, end = self._snapshots[name], self._snapshots[f"{name}_end"]
        return _increase(start.executions, end.executions) / _increase(
            start.first_attempts, end.first_attempts
        )

    def attempts_per_first_attempt(self, name: str, service: str | None = None) -> float:
        """Return the ratio of attempts to first attempts between two snapshots."""
        start, end = self._snapshots[name], self._snapshots[f"{name}_end"]
        attempts = _increase(start.attempts, end.attempts, service)
        return attempts / _increase(start.first_attempts, end.first_attempts, service)

    def count_attempt(self, service: str, is_first: bool) -> None:
        """Count an attempt that a router sends; ``is_first`` marks the first one of a call."""
        counts = self.attempts_by_service
        counts[service] = counts.get(service, 0) + 1
        if is_first:
            self.first_attempts_by_service[service] = (
                self.first_attempts_by_service.get(service, 0) + 1
            )

    def count_execution(self, try_record: TryRecord, service: str) -> None:
        """Count an execution that starts at an upstream."""
        for counts in (self.executions_by_service, try_record.executions_by_service):
            counts[service] = counts.get(service, 0) + 1

    def record_execution(
        self, try_record: TryRecord, service: str, start: float, end: float, succeeded: bool
    ) -> None:
        """Record the slot time of one execution; a failed one, or one after its try, is wasted."""
        if succeeded and not try_record.ended:
            try_record.unsettled_spans.append((service, start, end))
        else:
            self._add_slot_time(try_record.rank, service, start, end, useful=False)

    def end_try(self, try_record: TryRecord, succeeded: bool) -> None:
        """Count the slot time of a try as useful if the try succeeded, else as wasted."""
        try_record.ended = True
        for service, start, end in try_record.unsettled_spans:
            self._add_slot_time(try_record.rank, service, start, end, useful=succeeded)
        try_record.unsettled_spans.clear()

    def requests_arrived_in(self, window: Window) -> list[RequestRecord]:
        """Return the requests that arrived within a window."""
        return [
            request for request in self.requests if window.start <= request.arrived_at < window.end
        ]

    def _add_slot_time(
        self, rank: int, service: str, start: float, end: float, useful: bool
    ) -> None:
        for window in self.windows:
            seconds = min(end, window.end) - max(start, window.start)
            if seconds <= 0:
                continue
            usage = self.usage(window.name, service)
            if not useful:
                usage.wasted_seconds += seconds
                continue
            usage.useful_seconds += seconds
            usage.useful_seconds_by_rank[rank] = (
                usage.useful_seconds_by_rank.get(rank, 0.0) + seconds
            )


def _increase(start: dict[str, int], end: dict[str, int], service: str | None = None) -> int:
    """Return the increase in the counts of one service, or of all."""
    services = end if service is None else [service]
    return sum(end.get(name, 0) - start.get(name, 0) for name in services)
