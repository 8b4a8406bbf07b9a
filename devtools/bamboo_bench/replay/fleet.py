"""A fleet of platform nodes on a paused clock: real decisions, simulated links and upstreams."""

import asyncio
import itertools
import math
import os
import random
from collections import Counter, defaultdict

from bamboo_bench.replay.arrivals import Arrivals
from bamboo_bench.replay.pattern import Conditions, KindPattern, Pattern, ServicePattern
from bamboojunction.core.admission.gate import CompletionStatus
from bamboojunction.core.calls import Call
from bamboojunction.core.http_messages import HttpRequest, HttpResponse
from bamboojunction.core.membership.view import Announcement, MembershipView
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Ran, Unknown, UnknownReason
from bamboojunction.core.routes import CurrentRoutes, Route, Routes, WeightedService
from bamboojunction.core.routing.router import Router
from bamboojunction.core.table.rows import Effect, Row, default_weight
from bamboojunction.links.convert import reply_to_answer, request_to_call
from bamboojunction.links.link import LinkFailure
from bamboojunction.links.messages import CallAnswer, CallRequest
from bamboojunction.platform.heartbeats import Heartbeat
from bamboojunction.platform_node.app import PlatformNodeApp, PlatformNodeAppPorts
from bamboojunction.platform_node.forwarder import Forwarder
from bamboojunction.platform_node.gate import PlatformNodeGate
from bamboojunction.platform_node.local_upstream import LocalUpstream
from bamboojunction.telemetry.events import EventLog
from bamboojunction.telemetry.line_output import LineOutput
from bamboojunction.upstreams.client import UpstreamResult

HOST = b"replay.example"
CALLER_PORT = 1
REGION = "region"
# One way within a data centre.
LOCAL_DELAY_SECONDS = 0.0002
# The time that a node takes for each message that it handles.
NODE_SECONDS = 0.0005
REFUSAL_SECONDS = 0.001
FAILED_STATUS = 500
BODY_MAX_BYTES = 1_000_000


def routes_of(pattern: Pattern) -> Routes:
    """Return the routes of a pattern, one for each kind."""
    routes = tuple(
        Route(
            host=HOST.decode(),
            prefix=f"/{kind.name}/",
            row=Row(
                kind=kind.name,
                rank=kind.rank,
                weight=default_weight(kind.rank),
                effect=Effect.IDEMPOTENT if kind.idempotent else Effect.ONCE,
                deadline_ms=int(kind.timeout_ms),
                retries=kind.attempts - 1,
            ),
            timeout=kind.timeout_ms / 1000,
            goal_seconds=kind.goal_ms / 1000,
            weighted_services=(WeightedService(kind.service, 1.0),),
        )
        for kind in pattern.kinds
    )
    return Routes.build(1, {HOST.decode(): routes}, BODY_MAX_BYTES)


def request_for(kind: str, request_id: str, remaining: float, now: float) -> HttpRequest:
    """Return a request of a kind that has ``remaining`` seconds until its deadline."""
    headers = [
        (b"host", HOST),
        (b"bamboojunction-request-id", request_id.encode()),
        (b"bamboojunction-deadline-ms", str(int(remaining * 1000)).encode()),
    ]
    return HttpRequest(CALLER_PORT, "GET", f"/{kind}/1".encode(), headers, now)


class SimulatedLinks:
    """The links of one node; the counterpart of the link pool."""

    __slots__ = ("_fleet", "_request_ids", "_sender")

    def __init__(self, fleet: "ReplayFleet", sender: str):
        self._fleet = fleet
        self._sender = sender
        self._request_ids = itertools.count(1)

    def next_request_id(self) -> int:
        """Return an id that no other request of this node has."""
        return next(self._request_ids)

    async def request(
        self, address: str, request: CallRequest, deadline: float = math.inf
    ) -> CallAnswer | LinkFailure:
        """Send a call to the gate of the node at an address and wait for its answer."""
        receiver = self._fleet.node_by_instance[address]
        delay = self._fleet.one_way_seconds(self._sender, address) + NODE_SECONDS
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(delay)
                call = request_to_call(request, asyncio.get_running_loop().time())
                reply = await receiver.gate.serve(call)
                await asyncio.sleep(delay)
        except TimeoutError:
            return LinkFailure.DEADLINE
        return reply_to_answer(request.request_id, reply)


class SimulatedUpstream:
    """An upstream that takes the time of its pattern and sends child calls to its own node."""

    def __init__(self, node: "ReplayNode", service: ServicePattern, speed: float):
        self._node = node
        self._fleet = node.fleet
        self._service = service
        self._speed = speed
        self._slots = asyncio.Semaphore(service.slots)
        self._waiting = 0
        self._loop = asyncio.get_running_loop()

    async def send(self, call: Call, headers: list[tuple[str, str]]) -> UpstreamResult:
        """Run a call until its deadline."""
        self._fleet.arrivals_by_instance[self._node.instance] += 1
        started_at = self._loop.time()
        is_repeat = self._fleet.arrivals.record_arrival(call.service, call.action, started_at)
        try:
            async with asyncio.timeout_at(call.deadline):
                outcome = await self._serve(call, is_repeat)
        except TimeoutError:
            outcome = Unknown(UnknownReason.DEADLINE)
        match outcome:
            case NotRun():
                status = CompletionStatus.OVERLOADED
            case Ran(status=200):
                status = CompletionStatus.SUCCEEDED
            case _:
                status = CompletionStatus.FAILED
        return UpstreamResult(outcome, status, self._loop.time() - started_at)

    async def _serve(self, call: Call, is_repeat: bool) -> Outcome:
        conditions = self._fleet.conditions
        share = conditions.refused_share_by_service.get(self._service.name, 0.0)
        is_full = self._slots.locked() and self._waiting >= self._service.queue
        if is_full or self._fleet.random.random() < share:
            await asyncio.sleep(REFUSAL_SECONDS)
            return NotRun(NotRunReason.UPSTREAM_REFUSED)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            outcome = await self._run(call, is_repeat)
        finally:
            self._slots.release()
        share = conditions.lost_share_by_service.get(self._service.name, 0.0)
        if share and self._fleet.random.random() < share:
            return Unknown(UnknownReason.LOST_UPSTREAM)
        return outcome

    async def _run(self, call: Call, is_repeat: bool) -> Ran:
        kind = self._fleet.kind_by_name[call.kind]
        await asyncio.sleep(self._work_seconds(kind))
        calls = itertools.chain.from_iterable(
            itertools.repeat(child.kind, child.times) for child in kind.calls
        )
        run = self._fleet.arrivals.count_by_action[call.action]
        for number, child_kind in enumerate(calls):
            request_id = f"{call.action}.{number}"
            if is_repeat:
                # The calls of each run have ids of their own.
                request_id += f"r{run}"
                self._fleet.arrivals.record_call_of_repeat(request_id)
            response = await self._call_child(request_id, child_kind, call.deadline)
            if response.status != 200:
                return Ran(FAILED_STATUS)
        return Ran(200)

    def _work_seconds(self, kind: KindPattern) -> float:
        slowness = self._fleet.conditions.slowness_by_instance.get(self._node.instance, 1.0)
        # The mean of a log-normal variable with median 1 is exp(spread**2 / 2).
        variation = self._fleet.random.lognormvariate(-(kind.spread**2) / 2, kind.spread)
        return kind.work_ms / 1000 * variation * slowness / self._speed

    async def _call_child(self, request_id: str, kind: str, deadline: float) -> HttpResponse:
        now = self._loop.time()
        await asyncio.sleep(NODE_SECONDS)
        timeout = min(deadline - now, self._fleet.kind_by_name[kind].deadline_ms / 1000)
        return await self._node.app.handle(request_for(kind, request_id, timeout, now))


class ReplayNode:
    """A platform node without sockets: its app, forwarder, router and gate."""

    def __init__(
        self, fleet: "ReplayFleet", service: ServicePattern, number: int, data_centre: str
    ):
        self.fleet = fleet
        self.instance = f"{service.name}-{number}"
        self.service = service.name
        self.data_centre = data_centre
        loop = asyncio.get_running_loop()
        rng = random.Random(fleet.random.random())
        events = EventLog(self.instance, LineOutput(fleet.log_descriptor, loop.time()))
        self.view = MembershipView()
        self.router = Router(data_centre, REGION, rng)
        upstream = LocalUpstream(service.name)
        self.gate = PlatformNodeGate(
            SimulatedUpstream(self, service, service.speeds[number % len(service.speeds)]),
            fleet.routes,
            upstream,
            service.name,
            events,
        )
        self.gate.reset_slots(service.slots)
        upstream.apply(
            Heartbeat(self.instance, service.name, self.instance, service.slots, False, 1, 1, 0.0)
        )
        pattern = fleet.pattern
        self.forwarder = Forwarder(
            self.instance,
            self.router,
            self.view,
            SimulatedLinks(fleet, self.instance),
            self.gate,
            pattern.retry_limit,
            events,
            rng,
        )
        ports = PlatformNodeAppPorts(CALLER_PORT, 0, 0)
        self.app = PlatformNodeApp(
            service.name, fleet.routes, self.forwarder, upstream, self.gate, events, ports
        )

    def announcement(self) -> Announcement:
        """Return the announcement of this node's upstream; its address is the instance."""
        return Announcement(
            self.instance, "1", self.service, self.data_centre, REGION, self.instance, 0.0
        )


class ReplayFleet:
    """All nodes of a pattern; it must be created inside a running event loop."""

    def __init__(self, pattern: Pattern, seed: int):
        self.pattern = pattern
        self.random = random.Random(seed)
        self.conditions = Conditions.usual()
        self.kind_by_name = {kind.name: kind for kind in pattern.kinds}
        self.routes = CurrentRoutes(random.Random(seed))
        self.routes.replace_if_newer(routes_of(pattern))
        self.log_descriptor = os.open(os.devnull, os.O_WRONLY)
        self.arrivals_by_instance: Counter[str] = Counter()
        self.arrivals = Arrivals()
        self.node_by_instance: dict[str, ReplayNode] = {}
        self.instances_by_service: dict[str, list[str]] = defaultdict(list)
        data_centres = itertools.cycle(pattern.data_centres)
        for service in pattern.services:
            for number in range(service.instances):
                node = ReplayNode(self, service, number, next(data_centres))
                self.node_by_instance[node.instance] = node
                self.instances_by_service[service.name].append(node.instance)
        self._introduce_nodes()

    def close(self) -> None:
        """Release the log."""
        os.close(self.log_descriptor)

    def one_way_seconds(self, sender: str, receiver: str) -> float:
        """Return the delay of a message between two nodes."""
        nodes = self.node_by_instance
        if nodes[sender].data_centre == nodes[receiver].data_centre:
            return LOCAL_DELAY_SECONDS
        return self.pattern.one_way_ms / 1000

    def _introduce_nodes(self) -> None:
        announcements = [node.announcement() for node in self.node_by_instance.values()]
        for node in self.node_by_instance.values():
            for announcement in announcements:
                node.view.merge(announcement)
            node.forwarder.node_count = len(announcements)
            for service in self.instances_by_service:
                node.router.update_instances(service, node.view.serving(service))
