"""The routes of the configuration in force: which services may serve a request."""

import random
from dataclasses import dataclass, field

from bamboojunction.core.table.rows import DEFAULT_ROW, Row


@dataclass(slots=True, frozen=True)
class Part:
    """Name a service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Describe the requests of one host under one path prefix.

    ``timeout`` bounds how long a request may be kept waiting, ``aim`` is the time within which an
    answer earns full credit, both in seconds. ``row`` holds rank, effect and repeats.
    """

    host: str
    prefix: str
    row: Row
    timeout: float
    aim: float
    parts: tuple[Part, ...]

    @property
    def attempts(self) -> int:
        """Return how many upstreams one request may be sent to."""
        return self.row.retries + 1


@dataclass(slots=True, frozen=True)
class Routes:
    """Hold one version of the configuration; the routes of a host are sorted, longest first."""

    version: int = 0
    by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    by_kind: dict[str, Route] = field(default_factory=dict)
    connections_by_service: dict[str, int] = field(default_factory=dict)
    body_max_bytes: int = 1_000_000

    @classmethod
    def build(
        cls,
        version: int,
        by_host: dict[str, tuple[Route, ...]],
        connections_by_service: dict[str, int],
        body_max_bytes: int,
    ) -> "Routes":
        """Create a version from the routes of each host, in any order."""
        sorted_by_host = {
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in by_host.items()
        }
        by_kind = {route.row.kind: route for routes in by_host.values() for route in routes}
        return cls(version, sorted_by_host, by_kind, connections_by_service, body_max_bytes)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, the one with the longest prefix."""
        return next(
            (route for route in self.by_host.get(host, ()) if path.startswith(route.prefix)), None
        )


class RouteHolder:
    """Hold the highest version seen; never go back to an older one."""

    __slots__ = ("_debt_by_part", "_random", "routes")

    def __init__(self, rng: random.Random | None = None):
        self.routes = Routes()
        self._random = rng or random.Random()
        self._debt_by_part: dict[tuple[str, str], float] = {}

    def offer(self, routes: Routes) -> bool:
        """Put a version in force if it is newer and return whether it was."""
        if routes.version <= self.routes.version:
            return False
        self.routes = routes
        self._debt_by_part.clear()
        return True

    def row(self, kind: str) -> Row:
        """Return the row of a kind of work, or the default row."""
        route = self.routes.by_kind.get(kind)
        return DEFAULT_ROW if route is None else route.row

    def pick(self, route: Route) -> str:
        """Return the service that serves the next request, each by its weight's share.

        Each part is owed its weight for each request; the one owed most serves. The first request
        starts at a random place, so that nodes with little traffic differ.
        """
        if len(route.parts) == 1:
            return route.parts[0].service
        total = sum(part.weight for part in route.parts)
        if total <= 0:
            return route.parts[0].service
        kind = route.row.kind
        debts = self._debt_by_part
        for part in route.parts:
            share = part.weight / total
            known = debts.get((kind, part.service))
            debts[kind, part.service] = (
                share + self._random.random() * share if known is None else known + share
            )
        chosen = max(route.parts, key=lambda part: debts[kind, part.service])
        debts[kind, chosen.service] -= 1.0
        return chosen.service
