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
    """Hold the slot time that one try of a request took; it is useful if the try succeeds."""

    rank: int
    kind: str
    ended: bool = False
    spent: list[tuple[str, float, float]] = field(default_factory=list)


@dataclass(slots=True)
class Usage:
    """Add up slot seconds at one service within one window."""

    useful: float = 0.0
    wasted: float = 0.0
    useful_by_rank: dict[int, float] = field(default_factory=dict)


class Ledger:
    """Collect requests and slot time."""

    __slots__ = ("_usage", "executions_by_service", "firsts_by_service", "requests", "windows")

    def __init__(self, windows: list[Window]):
        self.windows = windows
        self.requests: list[RequestRecord] = []
        self.executions_by_service: dict[str, int] = {}
        self.firsts_by_service: dict[str, int] = {}
        self._usage: dict[tuple[str, str], Usage] = {}

    def usage(self, window: str, service: str) -> Usage:
        """Return the slot time at a service within a window."""
        return self._usage.setdefault((window, service), Usage())

    def window(self, name: str) -> Window:
        """Return the window with a name."""
        return next(window for window in self.windows if window.name == name)

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
