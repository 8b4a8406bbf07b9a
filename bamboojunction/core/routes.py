"""The routes of the configuration in force: which services may serve a request."""

import random
from dataclasses import dataclass, field

from bamboojunction.core.table.rows import DEFAULT_ROW, Row

# The fractional part of the golden ratio; its multiples spread most evenly over an interval of 1.
GOLDEN_STEP = 0.618033988749895


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
    body_max_bytes: int = 1_000_000

    @classmethod
    def build(
        cls,
        version: int,
        by_host: dict[str, tuple[Route, ...]],
        body_max_bytes: int,
    ) -> "Routes":
        """Create a version from the routes of each host, in any order."""
        sorted_by_host = {
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in by_host.items()
        }
        by_kind = {route.row.kind: route for routes in by_host.values() for route in routes}
        return cls(version, sorted_by_host, by_kind, body_max_bytes)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, the one with the longest prefix."""
        return next(
            (route for route in self.by_host.get(host, ()) if path.startswith(route.prefix)), None
        )


class RouteHolder:
    """Hold the highest version seen; never go back to an older one."""

    __slots__ = ("_point_by_kind", "_random", "routes")

    def __init__(self, rng: random.Random | None = None):
        self.routes = Routes()
        self._random = rng or random.Random()
        self._point_by_kind: dict[str, float] = {}

    def offer(self, routes: Routes) -> bool:
        """Put a version in force if it is newer and return whether it was."""
        if routes.version <= self.routes.version:
            return False
        self.routes = routes
        self._point_by_kind = {
            kind: point for kind, point in self._point_by_kind.items() if kind in routes.by_kind
        }
        return True

    def row(self, kind: str) -> Row:
        """Return the row of a kind of work, or the default row."""
        route = self.routes.by_kind.get(kind)
        return DEFAULT_ROW if route is None else route.row

    def pick(self, route: Route) -> str:
        """Return the service that serves the next request, each by its weight's share.

        The points that choose the part start at random and step by the golden ratio. Each request
        of each node therefore has the true shares, and a row of requests of one node keeps to them
        more closely than by chance.
        """
        if len(route.parts) == 1:
            return route.parts[0].service
        point = self._point_by_kind.get(route.row.kind)
        point = self._random.random() if point is None else (point + GOLDEN_STEP) % 1.0
        self._point_by_kind[route.row.kind] = point
        left = point * sum(part.weight for part in route.parts)
        for part in route.parts:
            left -= part.weight
            if left < 0:
                return part.service
        return route.parts[-1].service
