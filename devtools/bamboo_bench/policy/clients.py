"""Simulated clients: open-loop Poisson arrivals of each kind, and client-side retries."""

from dataclasses import dataclass
from functools import partial

from bamboo_bench.policy.deployments import KindSpec
from bamboo_bench.policy.ledger import RequestRecord, TryRecord
from bamboo_bench.policy.simulated_calls import SimCall, has_succeeded
from bamboo_bench.policy.simulation import Simulation
from bamboojunction.core.calls import Call
from bamboojunction.core.outcomes import NotRun, Outcome

CLIENT_RETRY_DELAY_SECONDS = 0.2


@dataclass(slots=True)
class Traffic:
    """The load that the clients generate; a scenario may change it during the run.

    ``rate_by_kind`` is in requests per second. Clients retry a failed request up to
    ``client_retries`` times, after a delay with jitter, as a new action with a full deadline.
    With ``distinct_bodies`` every request has a body of its own.
    """

    rate_by_kind: dict[str, float]
    client_retries: int = 0
    distinct_bodies: bool = False


class Clients:
    """The clients of all kinds; they send each request to a random node of its first service."""

    __slots__ = (
        "_action_count",
        "_entry_nodes_by_kind",
        "_random",
        "_simulation",
        "_spec_by_kind",
        "traffic",
    )

    def __init__(self, simulation: Simulation, traffic: Traffic):
        self.traffic = traffic
        self._simulation = simulation
        self._random = simulation.random
        self._spec_by_kind: dict[str, KindSpec] = {
            spec.row.kind: spec for spec in simulation.deployment.kinds
        }
        self._entry_nodes_by_kind = {
            kind: simulation.nodes(spec.root_call.service)
            for kind, spec in self._spec_by_kind.items()
        }
        self._action_count = 0

    def start(self) -> None:
        """Schedule the first arrival of every kind."""
        for kind in self._spec_by_kind:
            self._schedule_arrival(kind)

    def send(self, kind: str, body: bytes = b"") -> RequestRecord:
        """Send one request now and return its record."""
        spec = self._spec_by_kind[kind]
        now = self._simulation.clock.now
        request_record = RequestRecord(
            kind, spec.row.rank, now, now + spec.row.deadline_ms / 1000, body
        )
        self._simulation.ledger.requests.append(request_record)
        self._send_try(spec, request_record, body)
        return request_record

    def _schedule_arrival(self, kind: str) -> None:
        rate = self.traffic.rate_by_kind.get(kind, 0.0)
        # A kind with rate 0 checks again after 0.1 s, as the scenario may change its rate.
        delay = self._random.expovariate(rate) if rate > 0 else 0.1
        callback = self._arrive if rate > 0 else self._schedule_arrival
        self._simulation.clock.call_later(delay, callback, kind)

    def _arrive(self, kind: str) -> None:
        body = str(len(self._simulation.ledger.requests)).encode()
        self.send(kind, body if self.traffic.distinct_bodies else b"")
        self._schedule_arrival(kind)

    def _send_try(self, spec: KindSpec, request_record: RequestRecord, body: bytes) -> None:
        request_record.tries += 1
        self._action_count += 1
        row, now = spec.row, self._simulation.clock.now
        one_way_delay = self._simulation.deployment.client_one_way_delay_seconds
        deadline = now + row.deadline_ms / 1000 - one_way_delay
        retries_per_hop = self._simulation.policy.retries_per_hop
        call = Call(
            action=f"action-{self._action_count}",
            kind=row.kind,
            service=spec.root_call.service,
            deadline=deadline,
            allowance=row.retries if retries_per_hop is None else 0,
            body=body,
        )
        try_record = TryRecord(row.rank, row.kind)
        self._simulation.ledger.tries.append(try_record)
        sim_call = SimCall(call, row, spec.root_call, request_record, try_record)
        node = self._random.choice(self._entry_nodes_by_kind[row.kind])
        clock = self._simulation.clock

        def on_outcome(outcome: Outcome) -> None:
            try_record.refused = isinstance(outcome, NotRun)
            self._simulation.ledger.end_try(try_record, has_succeeded(outcome))
            clock.call_later(one_way_delay, self._try_ended, spec, request_record, body, outcome)

        clock.call_later(one_way_delay, partial(node.route, sim_call, on_outcome))

    def _try_ended(
        self, spec: KindSpec, request_record: RequestRecord, body: bytes, outcome: Outcome
    ) -> None:
        request_record.finished_at = self._simulation.clock.now
        if has_succeeded(outcome):
            request_record.succeeded = True
        elif request_record.tries <= self.traffic.client_retries:
            delay = CLIENT_RETRY_DELAY_SECONDS * (0.5 + self._random.random())
            self._simulation.clock.call_later(delay, self._send_try, spec, request_record, body)
