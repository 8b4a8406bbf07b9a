"""The simulated deployments: two applications, and a chain of 11 services."""

from dataclasses import dataclass
from itertools import chain

from bamboojunction.core.table.rows import Effect, Row, Table


@dataclass(slots=True, frozen=True)
class ServiceSpec:
    """The size of one service; ``slots`` and ``connections`` are per upstream."""

    name: str
    upstreams: int
    slots: int
    connections: int


@dataclass(slots=True, frozen=True)
class CallSpec:
    """One call of a call graph: its execution time without children, and its child calls.

    The child calls run one after the other.
    """

    service: str
    own_seconds: float
    children: tuple["CallSpec", ...] = ()

    def subtree(self) -> list["CallSpec"]:
        """Return this call and every call below it."""
        return [self, *chain.from_iterable(child.subtree() for child in self.children)]

    def total_seconds(self) -> float:
        """Return the seconds that the call takes with all calls below it, without queueing."""
        return self.own_seconds + sum(child.total_seconds() for child in self.children)


@dataclass(slots=True, frozen=True)
class KindSpec:
    """One kind of request; ``share`` is its fraction of the usual arrivals."""

    row: Row
    share: float
    root_call: CallSpec


@dataclass(slots=True, frozen=True)
class Deployment:
    """A fleet of services with its table and its usual mix of requests.

    ``bottleneck_service`` names the service with the least capacity for the usual mix.
    """

    name: str
    data_centres: tuple[str, ...]
    one_way_delay_seconds: float
    services: tuple[ServiceSpec, ...]
    kinds: tuple[KindSpec, ...]
    bottleneck_service: str
    client_one_way_delay_seconds: float = 0.008

    def table(self) -> Table:
        """Return the table of all kinds, as operators would write it."""
        return Table(version=1, by_kind={spec.row.kind: spec.row for spec in self.kinds})

    def service(self, name: str) -> ServiceSpec:
        """Return the specification of a service."""
        return next(service for service in self.services if service.name == name)

    def slots(self, name: str) -> int:
        """Return the total slots of all upstreams of a service."""
        service = self.service(name)
        return service.slots * service.upstreams

    def slot_seconds_at(self, spec: KindSpec, service: str) -> float:
        """Return the slot seconds that one request of a kind takes at a service."""
        return sum(
            call.total_seconds() for call in spec.root_call.subtree() if call.service == service
        )

    def capacity(self, service: str, shares: dict[str, float] | None = None) -> float:
        """Return the requests per second that saturate a service, for a mix of kinds.

        ``shares`` is the fraction of each kind, the usual one by default.
        """
        share_by_kind = shares or {spec.row.kind: spec.share for spec in self.kinds}
        total_share = sum(share_by_kind.values())
        mean_slot_seconds = sum(
            share_by_kind[spec.row.kind] * self.slot_seconds_at(spec, service)
            for spec in self.kinds
        )
        return self.slots(service) * total_share / mean_slot_seconds


SLOT_DIVISOR = 4  # The specified slots and connections are divided by this.


def _service_spec(name: str, upstreams: int, slots: int, connections: int) -> ServiceSpec:
    return ServiceSpec(name, upstreams, slots // SLOT_DIVISOR, connections // SLOT_DIVISOR)


def _kind_spec(
    name: str,
    rank: int,
    weight: int,
    effect: Effect,
    share: float,
    root_call: CallSpec,
    deadline_ms: int = 3_000,
    retries: int = 2,
) -> KindSpec:
    services = tuple(dict.fromkeys(call.service for call in root_call.subtree()))
    row = Row(name, rank, weight, effect, deadline_ms, retries, services=services)
    return KindSpec(row, share, root_call)


def cycle_bays() -> Deployment:
    """Return a bike parking platform: riders reserve bays and pay, staff read summaries."""
    log_call = CallSpec("lockerlog", 0.10)
    payment_call = CallSpec("payments", 0.05, (log_call,))
    return Deployment(
        name="cycle-bays",
        data_centres=("seq-brisbane", "nq-townsville", "seq-goldcoast"),
        one_way_delay_seconds=0.001,
        services=(
            _service_spec("bayfinder", 4, 60, 470),
            _service_spec("reservations", 3, 80, 600),
            _service_spec("payments", 3, 80, 600),
            _service_spec("lockerlog", 3, 20, 230),
        ),
        kinds=(
            _kind_spec("payment", 0, 40, Effect.ONCE, 0.10, payment_call),
            _kind_spec(
                "reservation",
                1,
                30,
                Effect.ONCE,
                0.20,
                CallSpec("reservations", 0.05, (CallSpec("bayfinder", 0.03), payment_call)),
            ),
            _kind_spec(
                "occupancy",
                2,
                15,
                Effect.IDEMPOTENT,
                0.20,
                CallSpec("reservations", 0.03, (CallSpec("bayfinder", 0.03, (log_call,)),)),
            ),
            _kind_spec(
                "availability",
                3,
                10,
                Effect.IDEMPOTENT,
                0.30,
                CallSpec("bayfinder", 0.04, (log_call,)),
            ),
            _kind_spec("history", 4, 5, Effect.IDEMPOTENT, 0.20, log_call),
        ),
        bottleneck_service="lockerlog",
    )


def khmira() -> Deployment:
    """Return a delivery platform: billing and dispatch rank above tracking and browsing."""
    tracking_call = CallSpec("tracking-svc", 0.10)
    billing_call = CallSpec("billing-svc", 0.05, (tracking_call,))
    return Deployment(
        name="khmira",
        data_centres=("lac", "sakiet", "charguia"),
        one_way_delay_seconds=0.0005,
        services=(
            _service_spec("menu-svc", 4, 40, 360),
            _service_spec("billing-svc", 3, 60, 440),
            _service_spec("dispatch-svc", 3, 60, 440),
            _service_spec("tracking-svc", 3, 20, 200),
        ),
        kinds=(
            _kind_spec("charge", 0, 40, Effect.ONCE, 0.10, billing_call),
            _kind_spec(
                "dispatch",
                1,
                30,
                Effect.ONCE,
                0.15,
                CallSpec("dispatch-svc", 0.05, (CallSpec("menu-svc", 0.02), billing_call)),
            ),
            _kind_spec(
                "refund-status",
                2,
                15,
                Effect.IDEMPOTENT,
                0.15,
                CallSpec("billing-svc", 0.03, (tracking_call,)),
            ),
            _kind_spec("tracking", 3, 10, Effect.IDEMPOTENT, 0.30, tracking_call),
            _kind_spec(
                "catalogue",
                4,
                5,
                Effect.IDEMPOTENT,
                0.30,
                CallSpec("menu-svc", 0.04, (tracking_call,)),
            ),
        ),
        bottleneck_service="tracking-svc",
    )


DEEP_CHAIN_LENGTH = 11


def deep() -> Deployment:
    """Return a chain of 11 services whose last one has the least capacity."""
    names = [f"hop-{depth:02}" for depth in range(1, DEEP_CHAIN_LENGTH + 1)]
    last = len(names) - 1
    own_seconds_by_index = [0.10 if index == last else 0.01 for index in range(len(names))]

    def chain_from(first: int) -> CallSpec:
        call = CallSpec(names[last], own_seconds_by_index[last])
        for index in range(last - 1, first - 1, -1):
            call = CallSpec(names[index], own_seconds_by_index[index], (call,))
        return call

    return Deployment(
        name="deep",
        data_centres=("east", "middle", "west"),
        one_way_delay_seconds=0.001,
        services=tuple(
            _service_spec(name, 3, 20 if index == last else 60, 200)
            for index, name in enumerate(names)
        ),
        kinds=(
            _kind_spec("order", 0, 40, Effect.ONCE, 0.20, chain_from(0)),
            _kind_spec("change", 1, 30, Effect.ONCE, 0.20, chain_from(3)),
            _kind_spec("summary", 2, 15, Effect.IDEMPOTENT, 0.20, chain_from(0)),
            _kind_spec("search", 3, 10, Effect.IDEMPOTENT, 0.20, chain_from(6)),
            _kind_spec("history", 4, 5, Effect.IDEMPOTENT, 0.20, chain_from(8)),
        ),
        bottleneck_service=names[last],
    )


DEPLOYMENTS = {"cycle-bays": cycle_bays, "khmira": khmira, "deep": deep}
