"""The call graphs that the bench drives: both deployments and one that is 11 deep."""

from dataclasses import dataclass
from itertools import chain

from bamboojunction.core.table.rows import Effect, Row, Table


@dataclass(slots=True, frozen=True)
class ServiceSpec:
    """Describe the upstreams of one service; ``slots`` and ``connections`` are per upstream."""

    name: str
    upstreams: int
    slots: int
    connections: int


@dataclass(slots=True, frozen=True)
class Step:
    """Describe one call of a kind's graph: its own time in seconds and its child calls."""

    service: str
    own_seconds: float
    children: tuple["Step", ...] = ()

    def steps(self) -> list["Step"]:
        """Return this step and every step below it."""
        return [self, *chain.from_iterable(child.steps() for child in self.children)]

    def seconds(self) -> float:
        """Return the time of the step with all steps below it, without any waiting."""
        return self.own_seconds + sum(child.seconds() for child in self.children)


@dataclass(slots=True, frozen=True)
class KindSpec:
    """Describe one kind of work; ``share`` is its part of the usual arrivals."""

    row: Row
    share: float
    graph: Step


@dataclass(slots=True, frozen=True)
class Deployment:
    """Describe a fleet, its table and its usual traffic.

    ``contended`` names the service with the least capacity for the usual mix.
    """

    name: str
    data_centres: tuple[str, ...]
    one_way_seconds: float
    services: tuple[ServiceSpec, ...]
    kinds: tuple[KindSpec, ...]
    contended: str
    client_one_way_seconds: float = 0.008

    def table(self) -> Table:
        """Return the operators' table."""
        return Table(version=1, by_kind={kind.row.kind: kind.row for kind in self.kinds})

    def service(self, name: str) -> ServiceSpec:
        """Return the description of a service."""
        return next(service for service in self.services if service.name == name)

    def slots(self, name: str) -> int:
        """Return the slots of all upstreams of a service."""
        service = self.service(name)
        return service.slots * service.upstreams

    def seconds_at(self, kind: KindSpec, service: str) -> float:
        """Return the slot time that one request of a kind takes at a service."""
        return sum(step.seconds() for step in kind.graph.steps() if step.service == service)

    def capacity(self, service: str, shares: dict[str, float] | None = None) -> float:
        """Return the requests a second that fill a service, for a mix of kinds."""
        mix = shares or {kind.row.kind: kind.share for kind in self.kinds}
        total = sum(mix.values())
        mean = sum(mix[kind.row.kind] * self.seconds_at(kind, service) for kind in self.kinds)
        return self.slots(service) * total / mean


SLOT_SCALE = 4  # Slots and connections are the stated ones divided by this.


def _service(name: str, upstreams: int, slots: int, connections: int) -> ServiceSpec:
    return ServiceSpec(name, upstreams, slots // SLOT_SCALE, connections // SLOT_SCALE)


def _kind(
    name: str,
    rank: int,
    weight: int,
    effect: Effect,
    share: float,
    graph: Step,
    deadline_ms: int = 3_000,
    retries: int = 2,
) -> KindSpec:
    services = tuple(dict.fromkeys(step.service for step in graph.steps()))
    row = Row(name, rank, weight, effect, deadline_ms, retries, services=services)
    return KindSpec(row, share, graph)


def cycle_bays() -> Deployment:
    """Return the bike parking platform; riders reserve bays and pay, staff read summaries."""
    log = Step("lockerlog", 0.10)
    payment = Step("payments", 0.05, (log,))
    return Deployment(
        name="cycle-bays",
        data_centres=("seq-brisbane", "nq-townsville", "seq-goldcoast"),
        one_way_seconds=0.001,
        services=(
            _service("bayfinder", 4, 60, 470),
            _service("reservations", 3, 80, 600),
            _service("payments", 3, 80, 600),
            _service("lockerlog", 3, 20, 230),
        ),
        kinds=(
            _kind("payment", 0, 40, Effect.ONCE, 0.10, payment),
            _kind(
                "reservation",
                1,
                30,
                Effect.ONCE,
                0.20,
                Step("reservations", 0.05, (Step("bayfinder", 0.03), payment)),
            ),
            _kind(
                "occupancy",
                2,
                15,
                Effect.IDEMPOTENT,
                0.20,
                Step("reservations", 0.03, (Step("bayfinder", 0.03, (log,)),)),
            ),
            _kind("availability", 3, 10, Effect.IDEMPOTENT, 0.30, Step("bayfinder", 0.04, (log,))),
            _kind("history", 4, 5, Effect.IDEMPOTENT, 0.20, log),
        ),
        contended="lockerlog",
    )


def khmira() -> Deployment:
    """Return the delivery platform; money and crates come before browsing and tracking."""
    track = Step("tracking-svc", 0.10)
    bill = Step("billing-svc", 0.05, (track,))
    return Deployment(
        name="khmira",
        data_centres=("lac", "sakiet", "charguia"),
        one_way_seconds=0.0005,
        services=(
            _service("menu-svc", 4, 40, 360),
            _service("billing-svc", 3, 60, 440),
            _service("dispatch-svc", 3, 60, 440),
            _service("tracking-svc", 3, 20, 200),
        ),
        kinds=(
            _kind("charge", 0, 40, Effect.ONCE, 0.10, bill),
            _kind(
                "dispatch",
                1,
                30,
                Effect.ONCE,
                0.15,
                Step("dispatch-svc", 0.05, (Step("menu-svc", 0.02), bill)),
            ),
            _kind(
                "refund-status", 2, 15, Effect.IDEMPOTENT, 0.15, Step("billing-svc", 0.03, (track,))
            ),
            _kind("tracking", 3, 10, Effect.IDEMPOTENT, 0.30, track),
            _kind("catalogue", 4, 5, Effect.IDEMPOTENT, 0.30, Step("menu-svc", 0.04, (track,))),
        ),
        contended="tracking-svc",
    )


DEEP_SERVICES = 11


def deep() -> Deployment:
    """Return a chain of 11 services; the last one has the least capacity."""
    names = [f"hop-{depth:02}" for depth in range(1, DEEP_SERVICES + 1)]
    last = len(names) - 1
    own = [0.10 if index == last else 0.01 for index in range(len(names))]

    def graph(first: int) -> Step:
        step = Step(names[last], own[last])
        for index in range(last - 1, first - 1, -1):
            step = Step(names[index], own[index], (step,))
        return step

    return Deployment(
        name="deep",
        data_centres=("east", "middle", "west"),
        one_way_seconds=0.001,
        services=tuple(
            _service(name, 3, 20 if index == last else 60, 200) for index, name in enumerate(names)
        ),
        kinds=(
            _kind("order", 0, 40, Effect.ONCE, 0.20, graph(0)),
            _kind("change", 1, 30, Effect.ONCE, 0.20, graph(3)),
            _kind("summary", 2, 15, Effect.IDEMPOTENT, 0.20, graph(0)),
            _kind("search", 3, 10, Effect.IDEMPOTENT, 0.20, graph(6)),
            _kind("history", 4, 5, Effect.IDEMPOTENT, 0.20, graph(8)),
        ),
        contended=names[last],
    )


DEPLOYMENTS = {"cycle-bays": cycle_bays, "khmira": khmira, "deep": deep}
