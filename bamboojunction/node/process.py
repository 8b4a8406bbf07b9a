"""The node process: builds its components from the settings, and starts and stops them."""

import asyncio
import secrets
import time

from loguru import logger

from bamboojunction.callers.app import CallSink, create_app
from bamboojunction.callers.requests import RequestParser
from bamboojunction.callers.server import CallerServer
from bamboojunction.conf.addresses import split_address
from bamboojunction.conf.settings import Settings
from bamboojunction.core.admission.gate import AdmissionController
from bamboojunction.core.graceful_shutdown import Close, GracefulShutdown, Wait, WorkInFlight
from bamboojunction.core.membership.view import Announcement, MembershipView
from bamboojunction.core.once.gate_records import GateRecords
from bamboojunction.core.once.home import Home
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.outcomes import NotRun, NotRunReason
from bamboojunction.core.pause_detector import PAUSE_CHECK_INTERVAL_SECONDS, PauseDetector
from bamboojunction.core.poison.guard import PoisonGuard
from bamboojunction.core.routing.router import Router
from bamboojunction.core.table.holder import CurrentTable
from bamboojunction.links.convert import request_to_call
from bamboojunction.links.handshake import Identity
from bamboojunction.links.messages import CallRequest, Target
from bamboojunction.links.pool import LinkPool
from bamboojunction.links.replies import GateReply
from bamboojunction.links.server import LinkServer
from bamboojunction.node.call_router import CallRouter
from bamboojunction.node.gate import GateService
from bamboojunction.node.gate_queries import GateQueryClient
from bamboojunction.node.keyed_calls import KeyedCalls
from bamboojunction.node.keyed_gate import KeyedGate
from bamboojunction.node.membership_sync import MembershipSync
from bamboojunction.node.poison_broadcaster import PoisonBroadcaster
from bamboojunction.node.running_calls import RunningCalls
from bamboojunction.operators.state import NodeState
from bamboojunction.platform.http_client import HttpPlatformClient
from bamboojunction.telemetry.metrics import Metrics
from bamboojunction.telemetry.tracing import Tracer
from bamboojunction.upstreams.client import UpstreamClient

INCARNATION_BYTES = 6


class Node:
    """A node with all its components; it has to be created inside a running event loop."""

    def __init__(self, settings: Settings):
        self.settings = settings
        node_settings = settings.node
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.incarnation = incarnation
        self._loop = asyncio.get_running_loop()
        self.current_table = CurrentTable()
        self.view = MembershipView()
        self.router = Router.from_config(node_settings)
        self.running_calls = RunningCalls()
        self.pause_detector = PauseDetector(self._loop.time())
        self._graceful_shutdown: GracefulShutdown | None = None
        identity = Identity(node_settings.instance, incarnation, settings.links.secret.encode())
        host, _ = split_address(node_settings.link_address)
        self.links = LinkPool(identity, settings.links, host)
        self.upstream = UpstreamClient.from_config(settings.upstream)
        guard = PoisonGuard(node_settings.instance, incarnation)
        self.gate = GateService(
            AdmissionController.from_config(settings.upstream),
            self.upstream,
            self.current_table,
            guard,
            self.running_calls,
        )
        poison_broadcaster = PoisonBroadcaster(
            node_settings.instance, node_settings.service, guard, self.view, self.links
        )
        self.gate.may_run_suspect = poison_broadcaster.may_run_suspect
        self.gate.on_findings = poison_broadcaster.broadcast
        gate_id = f"{node_settings.instance}/{incarnation}"
        self.keyed_gate = KeyedGate(self.gate, GateRecords(), gate_id)
        self.call_router = CallRouter(
            node_settings.instance,
            self.router,
            self.view,
            self.links,
            self.keyed_gate,
            self.gate.edge,
        )
        gate_queries = GateQueryClient(self.links, self.view, self.keyed_gate)
        home = Home(node_settings.instance, incarnation)
        self.keyed_calls = KeyedCalls(home, self.call_router, self.view, self.links, gate_queries)
        self.membership_sync = MembershipSync.from_config(
            settings,
            self._announcement(incarnation),
            self.view,
            self.current_table,
            HttpPlatformClient.from_config(settings.platform),
            self.links,
            self._update_router,
        )
        self.link_server = LinkServer(
            identity,
            settings.links,
            self._serve_request,
            self.keyed_gate.answer_seal,
            self.links.handlers,
        )
        parser = RequestParser(self.current_table, self.running_calls, self.pause_detector)
        self.metrics = Metrics.from_config(settings)
        self.tracer = Tracer.from_config(settings)
        self.gate.tracer = self.tracer
        self.sink = CallSink(
            parser,
            self.call_router,
            self.keyed_calls,
            settings.callers.body_max_bytes,
            self.metrics,
            self.tracer,
        )
        host, port = split_address(node_settings.caller_address)
        app = create_app(self.sink, self.keyed_calls, self.state)
        self.caller_server = CallerServer(app, host, port, settings.callers)
        self._tasks: list[asyncio.Task] = []

    def state(self) -> NodeState:
        """Return the node's state for operators."""
        node_settings = self.settings.node
        return NodeState(
            instance=node_settings.instance,
            incarnation=self.incarnation,
            service=node_settings.service,
            data_centre=node_settings.data_centre,
            draining=self.sink.is_draining,
            table_version=self.current_table.table.version,
            load=self.gate.report(),
            upstreams=list(self.view.by_instance.values()),
        )

    async def start(self) -> None:
        """Listen for peers and callers, and announce this node."""
        host, port = split_address(self.settings.node.link_address)
        await self.link_server.start(host, port)
        self.caller_server.start()
        self.membership_sync.start()
        self._tasks = [
            asyncio.create_task(self.links.close_idle()),
            asyncio.create_task(self._watch_pauses()),
        ]
        logger.info("event=node_started instance={}", self.settings.node.instance)

    async def stop(self) -> None:
        """Stop gracefully: refuse new calls, drain running ones, then close."""
        self._graceful_shutdown = GracefulShutdown(
            self._loop.time(), self.settings.node.stop_deadline_seconds
        )
        self.sink.is_draining = True
        self.keyed_calls.drain()
        self.gate.drain()
        announcing = asyncio.create_task(self.membership_sync.announce_draining())
        decision = await self._wait_to_close(self._graceful_shutdown)
        announcing.cancel()
        await self.close(wait_for_requests=decision.cut == 0)
        logger.info(
            "event=node_stopped instance={} reason={} cut={}",
            self.settings.node.instance,
            decision.reason.name.lower(),
            decision.cut,
        )

    async def close(self, wait_for_requests: bool = True) -> None:
        """Close all sockets and tasks; without ``wait_for_requests``, abort running requests."""
        for task in self._tasks:
            task.cancel()
        await self.membership_sync.close()
        await self.caller_server.close(wait_for_requests)
        await self.link_server.close()
        await self.links.close()
        await self.upstream.close()
        self.metrics.close()
        await self.tracer.close()

    def force_stop(self) -> None:
        """Close without draining; called for a second signal during the stop."""
        if self._graceful_shutdown is not None:
            self._graceful_shutdown.force()

    async def _wait_to_close(self, graceful_shutdown: GracefulShutdown) -> Close:
        while True:
            match graceful_shutdown.decide(self._work_in_flight(), self._loop.time()):
                case Close() as decision:
                    return decision
                case Wait(seconds):
                    await asyncio.sleep(seconds)

    def _work_in_flight(self) -> WorkInFlight:
        return WorkInFlight(
            executing=self.gate.report().in_flight,
            keys_in_flight=self.keyed_calls.running_count,
            requests=self.sink.in_flight,
            last_key_settled_at=self.keyed_calls.last_key_settled_at,
        )

    async def _watch_pauses(self) -> None:
        while True:
            await asyncio.sleep(PAUSE_CHECK_INTERVAL_SECONDS)
            pause = self.pause_detector.tick(self._loop.time())
            if pause:
                logger.warning("event=paused seconds={:.3f}", pause)

    def _announcement(self, incarnation: str) -> Announcement:
        node_settings = self.settings.node
        return Announcement(
            instance=node_settings.instance,
            incarnation=incarnation,
            service=node_settings.service,
            data_centre=node_settings.data_centre,
            region=node_settings.region,
            address=node_settings.link_advertised_address or node_settings.link_address,
            started_at=time.time(),
            caller_address=node_settings.caller_address,
        )

    def _update_router(self) -> None:
        for service in self.view.pop_changed_services():
            serving = self.view.serving(service)
            # A node that has just started may have been tried before it listened.
            self.links.forget_failures(entry.address for entry in serving)
            self.router.update_instances(service, serving)

    async def _serve_request(self, request: CallRequest) -> GateReply:
        now = self._loop.time()
        # The request may have waited unread while this process was paused, so its deadline counts
        # from the earliest time at which it can have arrived.
        call = request_to_call(request, now - self.pause_detector.max_message_age(now))
        if request.target == Target.GATE:
            return await self.keyed_gate.serve(call)
        key = ActionKey.parse(call.key)
        if key is None:
            return GateReply(NotRun(NotRunReason.KEY_INVALID))
        row = self.current_table.row(call.kind)
        return GateReply(await self.keyed_calls.serve_as_home(call, row, key))
