"""The routes of the current configuration, which select the service for each request."""

import random
from dataclasses import dataclass, field

from bamboojunction.core.table.rows import DEFAULT_ROW, Row

# The fractional part of the golden ratio. Its multiples modulo 1 spread evenly over [0, 1).
GOLDEN_RATIO_FRACTION = 0.618033988749895


@dataclass(slots=True, frozen=True)
class WeightedService:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """The handling of the requests for one host under one path prefix.

    ``timeout`` is the longest time that a request may wait for its answer. ``goal_seconds`` is the
    latency goal: all answers within this time are equally good. Both are in seconds.
    ``row`` holds the rank, the effect and the number of retries. A route without services is one
    whose configuration cannot be read; its requests are refused.
    """

    host: str
    prefix: str
    row: Row
    timeout: float
    goal_seconds: float
    weighted_services: tuple[WeightedService, ...]

    @property
    def attempts(self) -> int:
        """Return the number of times that one request may be sent, the first attempt included."""
        return self.row.retries + 1


@dataclass(slots=True, frozen=True)
class Routes:
    """One version of the configuration; the routes of a host are sorted longest prefix first."""

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
        """Create a version from the routes of each host, which may be in any order."""
        sorted_by_host = {
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in by_host.items()
        }
        by_kind = {route.row.kind: route for routes in by_host.values() for route in routes}
        return cls(version, sorted_by_host, by_kind, body_max_bytes)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a request, or None."""
        return next(
            (route for route in self.by_host.get(host, ()) if path.startswith(route.prefix)), None
        )


class CurrentRoutes:
    """The routes in force, which are only ever replaced by a higher version."""

    __slots__ = ("_position_by_kind", "_random", "routes")

    def __init__(self, rng: random.Random | None = None):
        self.routes = Routes()
        self._random = rng or random.Random()
        self._position_by_kind: dict[str, float] = {}

    def replace_if_newer(self, routes: Routes) -> bool:
        """Put ``routes`` in force if their version is newer, and return whether it was."""
        if routes.version <= self.routes.version:
            return False
        self.routes = routes
        self._position_by_kind = {
            kind: position
            for kind, position in self._position_by_kind.items()
            if kind in routes.by_kind
        }
        return True

    def row(self, kind: str) -> Row:
        """Return the row of a kind, or the default row if no route has this kind."""
        route = self.routes.by_kind.get(kind)
        return DEFAULT_ROW if route is None else route.row

    def select_service(self, route: Route) -> str:
        """Return the service for the next request, chosen in proportion to the weights.

        Each kind has a position in [0, 1) that selects the service. It starts at a random value and
        advances by the golden ratio with each request. Every single request is thus distributed by
        the weights, and consecutive requests of one node follow them more closely than independent
        random choices would.
        """
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        position = self._position_by_kind.get(route.row.kind)
        position = (
            self._random.random() if position is None else (position + GOLDEN_RATIO_FRACTION) % 1.0
        )
        self._position_by_kind[route.row.kind] = position
        remaining_weight = position * sum(part.weight for part in route.weighted_services)
        for part in route.weighted_services:
            remaining_weight -= part.weight
            if remaining_weight < 0:
                return part.service
        return route.weighted_services[-1].service
