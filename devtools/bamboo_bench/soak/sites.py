"""The kinds of requests of the soak tests, and the meshes of nodes that serve them.

The figures of the meshes are those of the users' published sites. Rates, slots and connections are
multiplied by ``SCALE``, so that a mesh and its callers need about two cores.
"""

from dataclasses import dataclass

# The virtual host of every request.
HOST = "soak.example"
SCALE = 0.25
# One of this many requests has work that is longer by a factor between these bounds.
TAIL_PERIOD = 20
TAIL_FACTORS = (3.0, 5.0)
# A route ends a request earlier than its caller does, at this share of the deadline.
TIMEOUT_SHARE = 0.9


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request; one with ``is_at_most_once`` must not run twice.

    Times are in seconds. ``rate`` is the number of requests a second from callers, 0 if only
    upstreams send them. A run calls the kinds named by ``calls``, one after the other. Some
    configurations route the kind to ``other_service``. ``work_seconds`` and ``deadline_seconds``
    are those of the shape if they are 0.
    """

    name: str
    service: str
    method: str
    is_at_most_once: bool
    rate: float = 0.0
    work_seconds: float = 0.0
    goal_seconds: float = 0.3
    deadline_seconds: float = 0.0
    attempts: int = 2
    retries: int = 0
    body_bytes: int = 0
    calls: tuple[str, ...] = ()
    other_service: str = ""

    @property
    def prefix(self) -> str:
        """Return the prefix of the paths of this kind, that of the service without own times."""
        return f"/{self.service}/{self.name}/" if self.deadline_seconds else f"/{self.service}/"

    @property
    def path(self) -> str:
        """Return the path of requests of this kind."""
        return self.prefix + self.name

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services to which a configuration may route the kind."""
        return (self.service, self.other_service) if self.other_service else (self.service,)

    def body(self, request_id: str) -> bytes:
        """Return the body of a request of this kind."""
        return (request_id.encode() * (1 + self.body_bytes // len(request_id)))[: self.body_bytes]


@dataclass(slots=True, frozen=True, eq=False)
class Mesh:
    """The nodes of a soak test: ``services`` and ``data_centres`` name those of each node, in turn.

    ``slots_by_service`` is the number of requests that an upstream runs side by side.
    """

    services: tuple[str, ...]
    data_centres: tuple[str, ...]
    kinds: tuple[Kind, ...]
    slots_by_service: dict[str, int]

    @property
    def has_own_times(self) -> bool:
        """Return whether the kinds have rates, work and deadlines of their own."""
        return any(kind.rate for kind in self.kinds)

    def kind_of(self, path: str) -> Kind:
        """Return the kind of the requests with a path."""
        return next(kind for kind in self.kinds if path.startswith(kind.prefix))

    def kinds_called_by(self, kind: Kind) -> list[Kind]:
        """Return the kinds that a run of a kind calls, in their order."""
        return [each for name in kind.calls for each in self.kinds if each.name == name]


def configuration(version: int, mesh: Mesh, deadline_seconds: float) -> dict:
    """Return a configuration with one route for each kind; its version tells where they lead."""
    paths = [
        {
            "name": f"r-{kind.name}",
            "path_prefix": kind.prefix,
            "kind": "non_idempotent" if kind.is_at_most_once else "idempotent",
            "timeout_ms": int((kind.deadline_seconds * TIMEOUT_SHARE or deadline_seconds) * 1000),
            "goal_ms": int(kind.goal_seconds * 1000),
            "priority": rank,
            "attempts": kind.attempts,
            **_destination(version, kind),
        }
        for rank, kind in enumerate(mesh.kinds)
    ]
    return {"version": version, "vhosts": [{"host": HOST, "paths": paths}]}


def _destination(version: int, kind: Kind) -> dict:
    """Return where a route leads: to its service, split with the other one, or to that alone."""
    if not kind.other_service or version % 3 == 1:
        return {"service": kind.service}
    if version % 3 == 2:
        parts = zip(kind.services, (0.6, 0.4), strict=True)
        return {"split": [{"service": name, "weight": weight} for name, weight in parts]}
    return {"service": kind.other_service}


# Six nodes, with the times of the shape.
SMALL_MESH = Mesh(
    services=("menu", "pay", "stock", "menu", "pay", "stock"),
    data_centres=("lac", "sakiet"),
    kinds=(
        Kind("read", "menu", "GET", False),
        Kind("charge", "pay", "POST", True),
        Kind("count", "stock", "GET", False),
    ),
    slots_by_service={"menu": 8, "pay": 8, "stock": 8},
)
# Thirteen nodes; runs call other services two deep.
MESH_SERVICES = ("catalogue", "billing", "dispatch", "tracking") * 3 + ("catalogue",)
MESH_DATA_CENTRES = ("north", "south", "east")


def _scaled_mesh(
    rates: tuple[float, ...], slots: tuple[int, ...], deadlines: tuple[float, ...]
) -> Mesh:
    """Return a mesh with the rates and deadlines of its kinds and the slots of its services."""
    browse, charge, send, status = (rate * SCALE for rate in rates)
    long, short, least, record, fetch, count = deadlines
    kinds = (
        Kind("send", "dispatch", "POST", True, send, 0.11, 0.3, short, 3, 1, 2_000, ("count",)),
        Kind("status", "tracking", "GET", False, status, 0.064, 0.2, least, 3, 1),
        Kind(
            *("charge", "billing", "POST", True, charge, 0.21, 3.0, long, 3, 1, 4_000),
            *(("fetch",), "catalogue"),
        ),
        Kind("browse", "catalogue", "GET", False, browse, 0.16, 1.5, long, 3, 1, 0, ("record",)),
        Kind("record", "billing", "GET", False, 0.0, 0.015, 1.0, record, 2, 0, 0, ("count",)),
        Kind("fetch", "dispatch", "GET", False, 0.0, 0.015, 1.0, fetch, 2, 0, 0, ("count",)),
        Kind("count", "tracking", "GET", False, 0.0, 0.04, 0.3, count, 2),
    )
    services = dict.fromkeys(MESH_SERVICES)
    scaled_slots = (int(each * SCALE) for each in slots)
    slots_by_service = dict(zip(services, scaled_slots, strict=True))
    return Mesh(MESH_SERVICES, MESH_DATA_CENTRES, kinds, slots_by_service)


DELIVERY_MESH = _scaled_mesh(
    (90, 33.7, 20.9, 22.5), (49, 66, 66, 20), (6.0, 1.2, 0.8, 3.0, 2.5, 0.7)
)
PARKING_MESH = _scaled_mesh((132, 48.5, 35, 43.1), (72, 96, 96, 24), (5.0, 1.2, 0.8, 2.5, 2.0, 0.7))
