"""Fake clients: open-loop arrivals of each kind, and retries by the clients themselves."""

from dataclasses import dataclass
from functools import partial

from bamboo_bench.policy.calls import SimCall, has_succeeded
from bamboo_bench.policy.deployments import KindSpec
from bamboo_bench.policy.ledger import RequestRecord, TryRecord
from bamboo_bench.policy.world import World
from bamboojunction.core.calls import Call
from bamboojunction.core.outcomes import NotRun, Outcome

CLIENT_RETRY_SECONDS = 0.2


@dataclass(slots=True)
class Traffic:
    """Hold what a scenario asks of the clients; scenarios change it while the run goes on.

    ``rate_by_kind`` is in requests a second. Clients try a failed request again up to
    ``client_retries`` times, after a short random pause, as a new action with a whole deadline.
    With ``distinct_bodies`` no two requests are the same.
    """

    rate_by_kind: dict[str, float]
    client_retries: int = 0
    distinct_bodies: bool = False


class Clients:
    """Send requests of every kind, each to a node of a random data centre."""

    __slots__ = ("_by_kind", "_entry_nodes", "_next_action", "_random", "_world", "traffic")

    def __init__(self, world: World, traffic: Traffic):
        self.traffic = traffic
        self._world = world
        self._random = world.random
        self._by_kind: dict[str, KindSpec] = {
            kind.row.kind: kind for kind in world.deployment.kinds
        }
        self._entry_nodes = {
            name: world.nodes(kind.graph.service) for name, kind in self._by_kind.items()
        }
        self._next_action = 0

    def start(self) -> None:
        """Begin the arrivals of every kind."""
        for kind in self._by_kind:
            self._schedule_arrival(kind)

    def send(self, kind: str, body: bytes = b"") -> RequestRecord:
        """Send one request now."""
        spec = self._by_kind[kind]
        now = self._world.clock.now
        record = RequestRecord(kind, spec.row.rank, now, now + spec.row.deadline_ms / 1000, body)
        self._world.ledger.requests.append(record)
        self._try(spec, record, body)
        return record

    def _schedule_arrival(self, kind: str) -> None:
        rate = self.traffic.rate_by_kind.get(kind, 0.0)
        # A kind with no arrivals looks again soon, as a scenario may change its rate.
        delay = self._random.expovariate(rate) if rate > 0 else 0.1
        callback = self._arrive if rate > 0 else self._schedule_arrival
        self._world.clock.call_later(delay, callback, kind)

    def _arrive(self, kind: str) -> None:
        body = str(len(self._world.ledger.requests)).encode()
        self.send(kind, body if self.traffic.distinct_bodies else b"")
        self._schedule_arrival(kind)

    def _try(self, spec: KindSpec, record: RequestRecord, body: bytes) -> None:
        record.tries += 1
        self._next_action += 1
        row, now = spec.row, self._world.clock.now
        one_way = self._world.deployment.client_one_way_seconds
        deadline = now + row.deadline_ms / 1000 - one_way
        hop_retries = self._world.policy.hop_retries
        call = Call(
            action=f"action-{self._next_action}",
            kind=row.kind,
            service=spec.graph.service,
            deadline=deadline,
            allowance=row.retries if hop_retries is None else 0,
            body=body,
        )
        attempt = TryRecord(row.rank, row.kind)
        self._world.ledger.tries.append(attempt)
        sim = SimCall(call, row, spec.graph, record, attempt)
        node = self._random.choice(self._entry_nodes[row.kind])
        clock = self._world.clock

        def answered(outcome: Outcome) -> None:
            attempt.refused = isinstance(outcome, NotRun)
            self._world.ledger.end_try(attempt, has_succeeded(outcome))
            clock.call_later(one_way, self._tried, spec, record, body, outcome)

        clock.call_later(one_way, partial(node.route, sim, answered))

    def _tried(self, spec: KindSpec, record: RequestRecord, body: bytes, outcome: Outcome) -> None:
        record.finished = self._world.clock.now
        if has_succeeded(outcome):
            record.succeeded = True
        elif record.tries <= self.traffic.client_retries:
            pause = CLIENT_RETRY_SECONDS * (0.5 + self._random.random())
            self._world.clock.call_later(pause, self._try, spec, record, body)
