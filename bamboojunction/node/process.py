"""The node process: builds the parts from the settings, starts them and stops them in order."""

import asyncio
import secrets
import time

from loguru import logger

from bamboojunction.callers.app import CallSink, create_app
from bamboojunction.callers.requests import RequestReader
from bamboojunction.callers.server import CallerServer
from bamboojunction.conf.settings import Settings
from bamboojunction.core.admission.gate import Admission
from bamboojunction.core.membership.view import Announcement, MembershipView
from bamboojunction.core.once.home import Home
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.outcomes import NotRun, NotRunReason
from bamboojunction.core.poison.guard import PoisonGuard
from bamboojunction.core.routing.router import Router
from bamboojunction.core.table.holder import TableHolder
from bamboojunction.node.calling import CallRouter
from bamboojunction.node.contexts import RunningCalls
from bamboojunction.node.keyed import KeyedCalls
from bamboojunction.node.poison import PoisonNews
from bamboojunction.node.serving import GateService
from bamboojunction.node.sync import Sync
from bamboojunction.nodes.convert import request_to_call
from bamboojunction.nodes.handshake import Identity
from bamboojunction.nodes.links import LinkPool
from bamboojunction.nodes.messages import CallRequest, Seal, SealAnswer, Target
from bamboojunction.nodes.replies import GateReply
from bamboojunction.nodes.server import LinkServer
from bamboojunction.operators.state import NodeState
from bamboojunction.platform.http import HttpPlatformClient
from bamboojunction.upstreams.client import UpstreamClient

INCARNATION_BYTES = 6
# Peers learn within this time that the node leaves; until then their calls are refused as not run.
LEAVE_NOTICE_SECONDS = 0.5
DRAIN_POLL_SECONDS = 0.05


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an ``ip:port`` address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Node:
    """Own the parts of one node; create it inside a running event loop."""

    def __init__(self, settings: Settings):
        self.settings = settings
        node = settings.node
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.incarnation = incarnation
        self._loop = asyncio.get_running_loop()
        self.holder = TableHolder()
        self.view = MembershipView()
        self.router = Router.from_config(node)
        self.running = RunningCalls()
        identity = Identity(node.instance, incarnation, settings.links.secret.encode())
        host, _ = split_address(node.link_address)
        self.links = LinkPool(identity, settings.links, host)
        self.upstream = UpstreamClient.from_config(settings.upstream)
        guard = PoisonGuard(node.instance, incarnation)
        self.gate = GateService(
            Admission.from_config(settings.upstream),
            self.upstream,
            self.holder,
            guard,
            self.running,
        )
        news = PoisonNews(node.instance, node.service, guard, self.view, self.links)
        self.gate.is_quarantine = news.is_quarantine
        self.gate.on_findings = news.tell
        self.calls = CallRouter(node.instance, self.router, self.view, self.links, self.gate)
        self.keyed = KeyedCalls(Home(node.instance, incarnation), self.calls, self.view)
        self.sync = Sync(
            self._announcement(incarnation),
            self.view,
            self.holder,
            HttpPlatformClient.from_config(settings.platform),
            settings.platform.watch_seconds,
            self._update_router,
        )
        self.link_server = LinkServer(
            identity, settings.links, self._serve_request, self._serve_seal, self.links.handlers
        )
        reader = RequestReader(self.holder, self.running)
        self.sink = CallSink(reader, self.calls, self.keyed, settings.callers.body_max_bytes)
        host, port = split_address(node.caller_address)
        app = create_app(self.sink, self.keyed, self.state)
        self.caller_server = CallerServer(app, host, port, settings.callers)
        self._idle_closer: asyncio.Task | None = None

    def state(self) -> NodeState:
        """Describe the node for operators."""
        node = self.settings.node
        return NodeState(
            instance=node.instance,
            incarnation=self.incarnation,
            service=node.service,
            data_centre=node.data_centre,
            draining=self.sink.is_draining,
            table_version=self.holder.table.version,
            load=self.gate.report(),
            upstreams=list(self.view.by_instance.values()),
        )

    async def start(self) -> None:
        """Listen on both faces and announce this node."""
        host, port = split_address(self.settings.node.link_address)
        await self.link_server.start(host, port)
        self.caller_server.start()
        self.sync.start()
        self._idle_closer = asyncio.create_task(self.links.close_idle())
        logger.info("event=node_started instance={}", self.settings.node.instance)

    async def stop(self) -> None:
        """Leave gracefully: refuse new work, finish what runs, then close."""
        deadline = self._loop.time() + self.settings.node.stop_deadline_seconds
        self.sink.is_draining = True
        self.gate.drain()
        leaving = asyncio.create_task(self.sync.leave())
        await asyncio.sleep(LEAVE_NOTICE_SECONDS)
        while self.gate.report().in_flight and self._loop.time() < deadline:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        leaving.cancel()
        await self.close()
        logger.info("event=node_stopped instance={}", self.settings.node.instance)

    async def close(self) -> None:
        """Close every socket and end every task."""
        if self._idle_closer is not None:
            self._idle_closer.cancel()
        await self.sync.close()
        await self.caller_server.close()
        await self.link_server.close()
        await self.links.close()
        await self.upstream.close()

    def _announcement(self, incarnation: str) -> Announcement:
        node = self.settings.node
        return Announcement(
            instance=node.instance,
            incarnation=incarnation,
            service=node.service,
            data_centre=node.data_centre,
            region=node.region,
            address=node.link_advertised_address or node.link_address,
            started_at=time.time(),
        )

    def _update_router(self) -> None:
        services = {entry.service for entry in self.view.by_instance.values()}
        for service in services:
            self.router.update(service, self.view.serving(service))

    async def _serve_request(self, request: CallRequest) -> GateReply:
        call = request_to_call(request, self._loop.time())
        if request.target == Target.GATE:
            return await self.gate.serve(call)
        key = ActionKey.parse(call.key)
        if key is None:
            return GateReply(NotRun(NotRunReason.KEY_INVALID))
        row = self.holder.row(call.kind)
        return GateReply(await self.keyed.serve_home(call, row, key))

    def _serve_seal(self, seal: Seal) -> SealAnswer:
        return SealAnswer(seal.request_id, False)
