"""The records from which the scenarios' figures are worked out."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Window:
    """Name a span of virtual time, in seconds."""

    name: str
    start: float
    end: float

    @property
    def seconds(self) -> float:
        """Return the length of the window."""
        return self.end - self.start


@dataclass(slots=True)
class RequestRecord:
    """Describe one request of a client, over all of its tries."""

    kind: str
    rank: int
    arrived: float
    deadline: float
    body: bytes = b""
    finished: float = 0.0
    succeeded: bool = False
    tries: int = 0
    executions: int = 0

    @property
    def latency(self) -> float:
        """Return the seconds from arrival to the whole answer."""
        return self.finished - self.arrived


@dataclass(slots=True)
class TryRecord:
    """Hold the slot time that one try of a request took; it is useful if the try succeeds.

    ``refused`` says that the client was told "not run".
    """

    rank: int
    kind: str
    ended: bool = False
    refused: bool = False
    executions_by_service: dict[str, int] = field(default_factory=dict)
    spent: list[tuple[str, float, float]] = field(default_factory=list)


@dataclass(slots=True)
class Usage:
    """Add up slot seconds at one service within one window."""

    useful: float = 0.0
    wasted: float = 0.0
    useful_by_rank: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Counts:
    """Hold what was counted up to a moment, by service."""

    firsts: dict[str, int]
    attempts: dict[str, int]
    executions: dict[str, int]


class Ledger:
    """Collect requests and slot time."""

    __slots__ = (
        "_marks",
        "_usage",
        "attempts_by_service",
        "executions_by_service",
        "firsts_by_service",
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
        self.firsts_by_service: dict[str, int] = {}
        self._marks: dict[str, Counts] = {}
        self._usage: dict[tuple[str, str], Usage] = {}

    def usage(self, window: str, service: str) -> Usage:
        """Return the slot time at a service within a window."""
        return self._usage.setdefault((window, service), Usage())

    def window(self, name: str) -> Window:
        """Return the window with a name."""
        return next(window for window in self.windows if window.name == name)

    def mark(self, name: str) -> None:
        """Keep the counts of this moment; a mark and the same one with ``_end`` bound a span."""
        self._marks[name] = Counts(
            dict(self.firsts_by_service),
            dict(self.attempts_by_service),
            dict(self.executions_by_service),
        )

    def executions_per_first(self, name: str) -> float:
        """Return the executions in a marked span as a multiple of the first attempts in it."""
        start, end = self._marks[name], self._marks[f"{name}_end"]
        return _grown(start.executions, end.executions) / _grown(start.firsts, end.firsts)

    def attempts_per_first(self, name: str, service: str | None = None) -> float:
        """Return the attempts in a marked span as a multiple of the first attempts in it."""
        start, end = self._marks[name], self._marks[f"{name}_end"]
        attempts = _grown(start.attempts, end.attempts, service)
        return attempts / _grown(start.firsts, end.firsts, service)

    def count_attempt(self, service: str, is_first: bool) -> None:
        """Count an attempt that a router sends; ``is_first`` for the first one of a call."""
        counts = self.attempts_by_service
        counts[service] = counts.get(service, 0) + 1
        if is_first:
            self.firsts_by_service[service] = self.firsts_by_service.get(service, 0) + 1

    def count_execution(self, attempt: TryRecord, service: str) -> None:
        """Count a call that starts at an upstream."""
        for counts in (self.executions_by_service, attempt.executions_by_service):
            counts[service] = counts.get(service, 0) + 1

    def add_execution(
        self, attempt: TryRecord, service: str, start: float, end: float, succeeded: bool
    ) -> None:
        """Record the slot time of one execution."""
        if succeeded and not attempt.ended:
            attempt.spent.append((service, start, end))
        else:
            self._add(attempt.rank, service, start, end, useful=False)

    def end_try(self, attempt: TryRecord, succeeded: bool) -> None:
        """Settle whether the slot time of a try was useful."""
        attempt.ended = True
        for service, start, end in attempt.spent:
            self._add(attempt.rank, service, start, end, useful=succeeded)
        attempt.spent.clear()

    def arrived_in(self, window: Window) -> list[RequestRecord]:
        """Return the requests that first arrived within a window."""
        return [
            request for request in self.requests if window.start <= request.arrived < window.end
        ]

    def _add(self, rank: int, service: str, start: float, end: float, useful: bool) -> None:
        for window in self.windows:
            seconds = min(end, window.end) - max(start, window.start)
            if seconds <= 0:
                continue
            usage = self.usage(window.name, service)
            if not useful:
                usage.wasted += seconds
                continue
            usage.useful += seconds
            usage.useful_by_rank[rank] = usage.useful_by_rank.get(rank, 0.0) + seconds


def _grown(start: dict[str, int], end: dict[str, int], service: str | None = None) -> int:
    """Return by how much the counts of one or all services grew."""
    services = end if service is None else [service]
    return sum(end.get(name, 0) - start.get(name, 0) for name in services)
