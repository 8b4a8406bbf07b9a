"""The choice of the upstream instance that serves an attempt."""

from dataclasses import dataclass

from bamboojunction.core.load import LoadReport
from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome


@dataclass(slots=True, frozen=True)
class RouteRequest:
    """Describe an attempt that needs an upstream; ``excluded`` names instances already tried."""

    service: str
    kind: str
    rank: int
    action: str
    deadline: float
    depth: int = 0
    excluded: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class Chosen:
    """Name the instance to send the attempt to."""

    instance: str


@dataclass(slots=True, frozen=True)
class AttemptEnd:
    """Report how an attempt ended, as the router saw it.

    ``report`` is None when no answer came. ``service_seconds`` is the upstream's execution time as
    its gate measured it, 0 when nothing ran; ``elapsed`` is the whole attempt in seconds.
    """

    instance: str
    kind: str
    outcome: Outcome
    report: LoadReport | None
    service_seconds: float
    elapsed: float


class Router:
    """Choose an instance for each attempt and learn from the answers."""

    __slots__ = ("_by_service", "_data_centre", "_in_flight", "_turn")

    def __init__(self, data_centre: str):
        self._data_centre = data_centre
        self._by_service: dict[str, list[Announcement]] = {}
        self._in_flight: dict[str, int] = {}
        self._turn = 0

    @classmethod
    def from_config(cls, node_settings) -> "Router":
        """Create the router of a node."""
        return cls(node_settings.data_centre)

    def update(self, service: str, instances: list[Announcement]) -> None:
        """Replace the instances of a service that take new work."""
        self._by_service[service] = instances

    def choose(self, request: RouteRequest, now: float) -> Chosen | NotRun:
        """Choose an instance, or refuse the attempt before it leaves."""
        instances = self._by_service.get(request.service, [])
        fresh = [entry for entry in instances if entry.instance not in request.excluded]
        near = [entry for entry in fresh if entry.data_centre == self._data_centre]
        candidates = near or fresh
        if not candidates:
            return NotRun(NotRunReason.NO_UPSTREAM, retry_after=0.2)
        self._turn += 1
        return Chosen(candidates[self._turn % len(candidates)].instance)

    def sent(self, instance: str, kind: str, now: float) -> None:
        """Record that an attempt left for an instance."""
        self._in_flight[instance] = self._in_flight.get(instance, 0) + 1

    def ended(self, end: AttemptEnd, now: float) -> None:
        """Learn from the end of an attempt."""
        self._in_flight[end.instance] -= 1
