"""The platform node process: builds its components, starts them and stops them."""

import asyncio
import random
import secrets
import time

from result import Err, Result

from bamboojunction.callers.forwarding_server import ForwardingServer
from bamboojunction.conf.addresses import split_address
from bamboojunction.conf.settings import LinkSettings
from bamboojunction.core.graceful_shutdown import StopWindow
from bamboojunction.core.membership.departures import DepartureRecord, UpstreamDeparture
from bamboojunction.core.membership.reachability import ConnectFailureTracker
from bamboojunction.core.membership.view import Announcement, InstanceState, MembershipView
from bamboojunction.core.memory_budget import MemoryBudget
from bamboojunction.core.outcomes import NotRun, NotRunReason
from bamboojunction.core.pause_detector import (
    PAUSE_CHECK_INTERVAL_SECONDS,
    PAUSE_MIN_SECONDS,
    PauseDetector,
)
from bamboojunction.core.poison.decisions import Ban, Finding, Suspicion
from bamboojunction.core.poison.guard import PoisonGuard
from bamboojunction.core.retries.fleet_budget import RetryLimit
from bamboojunction.core.routes import CurrentRoutes
from bamboojunction.core.routing.router import Router
from bamboojunction.links.convert import request_to_call
from bamboojunction.links.handshake import Identity
from bamboojunction.links.messages import CallRequest, Seal, SealAnswer
from bamboojunction.links.pool import LinkPool
from bamboojunction.links.replies import GateReply
from bamboojunction.links.server import LinkServer
from bamboojunction.node.poison_broadcaster import PoisonBroadcaster
from bamboojunction.platform.http_client import HttpPlatformClient
from bamboojunction.platform.node_settings import PlatformNodeSettings
from bamboojunction.platform_node.app import (
    MEMORY_RETRY_AFTER_SECONDS,
    PlatformNodeApp,
    PlatformNodeAppPorts,
)
from bamboojunction.platform_node.forwarder import Forwarder
from bamboojunction.platform_node.gate import PlatformNodeGate, UpstreamSender
from bamboojunction.platform_node.listeners import Listeners
from bamboojunction.platform_node.local_upstream import LocalUpstream, UpstreamChange
from bamboojunction.platform_node.metrics_listener import MetricsListener
from bamboojunction.platform_node.peer_sync import PeerSync
from bamboojunction.platform_node.store_sync import StoreSync
from bamboojunction.platform_node.store_watchers import StoreWatchers
from bamboojunction.platform_node.supervision import run_supervised
from bamboojunction.telemetry.events import EventLog
from bamboojunction.telemetry.line_output import LineOutput
from bamboojunction.upstreams.pool import UpstreamPool

INCARNATION_BYTES = 6
STORE_TIMEOUT_SECONDS = 1.5
# The idle timeout of caller connections. Clients reuse a connection only while it has been idle for
# less than four fifths of this time.
KEEP_ALIVE_SECONDS = 60
# Callers keep sending requests for this long after readiness fails, because they notice
# it after two checks, a second apart.
CALLER_DRAIN_SECONDS = 2.6
# Requests from callers are refused once the stop has taken this long, so that every accepted
# request can finish before the process exits.
REFUSE_CALLERS_AFTER_SECONDS = 3.0
# Part of the stop deadline that is reserved for closing connections.
CLOSE_RESERVE_SECONDS = 0.8
# The largest message on a link, which has to hold a call with its body. The memory for bodies is
# bounded separately.
LINK_FRAME_MAX_BYTES = 80_000_000
LINK_SETTINGS = LinkSettings(
    secret="",
    heartbeat_seconds=0.4,
    open_timeout_seconds=0.4,
    idle_close_seconds=60.0,
    frame_max_bytes=LINK_FRAME_MAX_BYTES,
)
# Part of the process's memory limit that the bodies of requests and responses may take. A body has
# up to two copies, as it is encoded for a link or for the upstream.
BODY_MEMORY_SHARE = 0.25
# Part of the memory for bodies that one response may take.
RESPONSE_MEMORY_SHARE = 0.25


class PlatformNode:
    """A platform node with all its components; it must be created inside a running event loop."""

    def __init__(
        self,
        settings: PlatformNodeSettings,
        log_descriptor: int,
        listeners: Listeners | None = None,
    ):
        self.settings = settings
        self._listeners = listeners or Listeners.open(settings, metrics_port=0).unwrap()
        self._link_address = self._listeners.link_address
        self._loop = asyncio.get_running_loop()
        # The number of upstream starts. It is part of the announced incarnation, so that peers
        # treat each start as a new incarnation.
        self._upstream_start_count = 0
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.events = EventLog(settings.instance, LineOutput(log_descriptor, self._loop.time()))
        self.current_routes = CurrentRoutes()
        self.view = MembershipView()
        self.router = Router.from_config(settings)
        self._pause_detector = PauseDetector(self._loop.time())
        host, _ = split_address(settings.link_address)
        identity = Identity(settings.instance, self._incarnation, b"")
        self.links = LinkPool(identity, LINK_SETTINGS, host)
        self.links.is_remote = self._is_remote
        self._connect_failures = ConnectFailureTracker()
        self.links.on_connect_failed = lambda address: self._connect_failures.record_failure(
            address, self._loop.time()
        )
        self.body_memory = MemoryBudget(int(settings.memory_bytes * BODY_MEMORY_SHARE))
        response_max_bytes = int(self.body_memory.limit_bytes * RESPONSE_MEMORY_SHARE)
        self.pool = UpstreamPool(settings.upstream_address, response_max_bytes, self.body_memory)
        self.local_upstream = LocalUpstream(
            settings.service, are_departures_known=settings.is_first_start
        )
        self.local_upstream.on_change = self._upstream_changed
        sender = UpstreamSender(self.pool, self.current_routes)
        sender.on_misdirected_call = self.local_upstream.handle_misdirected_call
        guard = PoisonGuard(settings.instance, self._incarnation, isolates_suspects=False)
        self.gate = PlatformNodeGate(
            sender,
            self.current_routes,
            self.local_upstream,
            settings.service,
            self.events,
            guard,
        )
        self._poison_broadcaster = PoisonBroadcaster(
            settings.instance, settings.service, guard, self.view, self.links
        )
        self.gate.on_findings = self._report_findings
        self.forwarder = Forwarder(
            settings.instance,
            self.router,
            self.view,
            self.links,
            self.gate,
            retry_limit(settings),
            self.events,
        )
        client = HttpPlatformClient([settings.store_address], STORE_TIMEOUT_SECONDS)
        self.store_sync = StoreSync(
            client,
            self.current_routes,
            random.Random(),
            self.events,
            settings.store_history_seconds,
        )
        self.store_sync.own_instance = settings.instance
        self.store_watchers = StoreWatchers(
            settings.instance, settings.data_centre, self.view, self.links, self.store_sync
        )
        self.store_sync.on_instances_changed = self._instances_changed
        self.store_sync.on_departures_read = self._restore_departures
        self.link_server = LinkServer(
            identity, LINK_SETTINGS, self._serve_request, _refuse_seal, self.links.handlers
        )
        self.peer_sync = PeerSync(
            self._link_address, self.store_sync, self.links, self.link_server, self.events
        )
        self.peer_sync.on_link_opened = self._connect_failures.record_success
        ports = PlatformNodeAppPorts(
            split_address(settings.caller_address)[1],
            split_address(settings.ready_address)[1],
            split_address(settings.report_address)[1],
        )
        self.app = PlatformNodeApp(
            settings.service,
            self.current_routes,
            self.forwarder,
            self.local_upstream,
            self.gate,
            self.events,
            ports,
        )
        self.app.wait_until_stored = self.store_sync.wait_until_stored
        sockets = [self._listeners.callers, self._listeners.ready, self._listeners.reports]
        self.events.prometheus_metrics.collect_state = self._read_gauges
        self.server = ForwardingServer(self.app, sockets, self.body_memory, KEEP_ALIVE_SECONDS)
        self._metrics_listener = MetricsListener(
            self._listeners.metrics_address, ports.all, self.server.serve_on, self.events
        )
        self._remote_addresses: frozenset[str] = frozenset()
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Listen on the links and for callers, and start the background tasks."""
        # Peers send calls only after this node has answered on their links.
        self._pause_detector.restart(self._loop.time())
        await self.link_server.start_on(self._listeners.links)
        await self.server.start()
        self.store_sync.start()
        coroutine_function_by_name = {
            "listen_for_metrics": self._metrics_listener.run,
            "close_idle_links": self.links.close_idle,
            "watch_pauses": self._watch_pauses,
            "report_left_out": self.events.report_dropped_lines,
            "remove_absent": self._remove_unreachable,
            "check_store_watchers": self.store_watchers.check_reachability,
        }
        self._tasks = [
            asyncio.create_task(run_supervised(name, run, self.events))
            for name, run in coroutine_function_by_name.items()
        ]
        if not self.settings.is_first_start:
            self._tasks.append(asyncio.create_task(self.store_sync.read_departures()))
        self.events.started(
            service=self.settings.service,
            data_centre=self.settings.data_centre,
            link_address=self._link_address,
        )
        self._report_defaulted_fields()

    async def stop(self) -> None:
        """Stop gracefully.

        Readiness ends first, and calls that would be cut off at the end are refused from then on.
        Then the gate and the caller listener refuse all new calls, running requests finish, and
        finally all connections are closed. The time that the signal may have waited, while this
        process was paused, counts as part of the stop.
        """
        now = self._loop.time()
        started_at = now - self._pause_detector.max_message_age(now)
        drain_deadline = started_at + self.settings.stop_seconds - CLOSE_RESERVE_SECONDS
        self.events.stopping(in_flight=self.app.in_flight)
        self.app.is_stopping = True
        self.app.stop_window = self.gate.stop_window = StopWindow(drain_deadline)
        self.server.begin_stop()
        while self._loop.time() < drain_deadline:
            are_callers_drained = self._loop.time() - started_at >= CALLER_DRAIN_SECONDS
            if are_callers_drained:
                # Callers no longer send requests. Until now the gate had to serve calls for them.
                self.gate.stop()
            if self._loop.time() - started_at >= REFUSE_CALLERS_AFTER_SECONDS:
                self.app.is_refusing_callers = True
            if are_callers_drained and not self.server.is_busy and not self.gate.report().in_flight:
                # Requests that arrive before the listener closes are refused instead of losing
                # their connection.
                self.app.is_refusing_callers = True
                break
            await asyncio.sleep(PAUSE_CHECK_INTERVAL_SECONDS)
        unfinished_calls = self.app.in_flight + self.gate.report().in_flight
        await self.close()
        self.events.stopped(cut=unfinished_calls, seconds=self._loop.time() - started_at)

    async def close(self) -> None:
        """Close all connections and listeners, and cancel the background tasks."""
        for task in self._tasks:
            task.cancel()
        try:
            async with asyncio.timeout(CLOSE_RESERVE_SECONDS / 2):
                await asyncio.gather(
                    self.server.close(),
                    self.store_sync.close(),
                    self.link_server.close(),
                    self.links.close(),
                )
        except TimeoutError:
            self.events.close_timed_out()
        self.pool.close()

    def reload(self, loaded: Result[PlatformNodeSettings, str]) -> None:
        """Apply reloaded settings; keep the old ones if they could not be loaded."""
        if isinstance(loaded, Err):
            self.events.reload_failed(loaded.err())
            return
        settings = self.settings = loaded.ok().with_values_in_force(self.settings)
        self._report_defaulted_fields()
        self.forwarder.set_retry_limit(retry_limit(settings))
        self.events.reloaded(stop_seconds=settings.stop_seconds)

    def _report_defaulted_fields(self) -> None:
        for entry in self.settings.defaulted:
            self.events.setting_defaulted(entry.field, entry.value, entry.used)

    def _is_remote(self, address: str) -> bool:
        """Return whether the node at a link address is known to be in another data centre."""
        return address in self._remote_addresses

    def _read_gauges(self) -> dict[str, float]:
        report = self.gate.report()
        return {
            "configuration_version": self.current_routes.routes.version,
            "instances_known": len(self.view.by_instance),
            "upstream_serving": float(self.local_upstream.is_serving),
            "callers_in_flight": self.app.in_flight,
            "body_bytes_held": self.body_memory.held_bytes,
            "gate_in_flight": report.in_flight,
            "gate_queued": report.queued,
            "gate_limit": report.limit,
            "upstream_connections_opened": self.pool.opened_count,
            "repeats_left": self.forwarder.retries_left(),
            "configuration_age_seconds": self._loop.time() - self.store_sync.routes_applied_at,
            "instances_age_seconds": self._loop.time() - self.store_sync.instances_updated_at,
        }

    def _upstream_changed(self, change: UpstreamChange) -> None:
        latest = self.local_upstream.latest_heartbeat
        if change is not UpstreamChange.NONE:
            self.events.upstream_changed(
                change.name.lower(),
                self.local_upstream.instance_id,
                slots=latest.slots if latest else 0,
                cold=latest.cold_seconds if latest else 0.0,
            )
        if change is UpstreamChange.STARTED:
            self._upstream_start_count += 1
            self.pool.close()
            self.gate.reset_slots(latest.slots)
        elif change in (UpstreamChange.DRAINING, UpstreamChange.GONE):
            self.gate.drain()
        self.store_sync.announce(self._announcement())

    def _report_findings(self, findings: list[Finding]) -> None:
        banned = [finding.fingerprint for finding in findings if isinstance(finding, Ban)]
        suspected = sum(isinstance(finding, Suspicion) for finding in findings)
        if banned or suspected:
            self.events.upstream_crashed(suspected, banned)
        self._poison_broadcaster.broadcast(findings)

    def _restore_departures(self, departures: tuple[UpstreamDeparture, ...]) -> None:
        if departures:
            self.events.departures_restored(len(departures))
        self.local_upstream.restore_departures(departures)
        if departures and not self.local_upstream.is_serving:
            self.store_sync.announce(self._announcement())

    def _announcement(self) -> Announcement | DepartureRecord:
        """Return the announcement of the local upstream, or its departures if it does not serve."""
        settings = self.settings
        if not self.local_upstream.is_serving:
            return DepartureRecord(settings.instance, self.local_upstream.departures)
        return Announcement(
            instance=settings.instance,
            incarnation=f"{self._incarnation}/{self._upstream_start_count}",
            service=settings.service,
            data_centre=settings.data_centre,
            region=settings.region,
            address=self._link_address,
            started_at=float(self.local_upstream.latest_heartbeat.started_at),
            state=InstanceState.SERVING,
        )

    def _instances_changed(self, by_instance: dict[str, Announcement]) -> None:
        known = self.view.by_instance
        left = [name for name in known if name not in by_instance]
        joined = [name for name, entry in by_instance.items() if known.get(name) != entry]
        if not left and not joined:
            return
        for name in left:
            self.view.forget(name)
        for name in joined:
            if name in known:
                self.view.forget(name)
            self.view.merge(by_instance[name])
        self._connect_failures.retain({entry.address for entry in by_instance.values()})
        self._remote_addresses = frozenset(
            entry.address
            for entry in by_instance.values()
            if entry.data_centre != self.settings.data_centre
        )
        self.forwarder.node_count = max(1, len(by_instance))
        self.store_watchers.update_instances()
        for service in self.view.pop_changed_services():
            self.router.update_instances(service, self.view.serving(service))
        for name in joined:
            if name != self.settings.instance:
                self._poison_broadcaster.send_bans(name)
        self.events.instances_changed(joined, left, len(by_instance))

    async def _serve_request(self, request: CallRequest) -> GateReply:
        now = self._loop.time()
        reservation = self.body_memory.hold()
        if not reservation.grow(len(request.body)):
            return GateReply(NotRun(NotRunReason.FULL, MEMORY_RETRY_AFTER_SECONDS))
        call = request_to_call(request, now - self._pause_detector.max_message_age(now))
        try:
            return await self.gate.serve(call)
        finally:
            reservation.release()

    async def _remove_unreachable(self) -> None:
        await self.store_sync.remove_unreachable(
            lambda: self._connect_failures.unreachable(self._loop.time())
        )

    async def _watch_pauses(self) -> None:
        """Detect and log pauses of the process.

        The boot-time clock also counts suspended time, which the event loop's clock may not.
        """
        previous_boottime = time.clock_gettime(time.CLOCK_BOOTTIME)
        while True:
            await asyncio.sleep(PAUSE_CHECK_INTERVAL_SECONDS)
            pause = self._pause_detector.tick(self._loop.time())
            now = time.clock_gettime(time.CLOCK_BOOTTIME)
            # One interval is the sleep itself; the other is the tolerated delay.
            pause = max(pause, now - previous_boottime - 2 * PAUSE_CHECK_INTERVAL_SECONDS)
            previous_boottime = now
            if pause >= PAUSE_MIN_SECONDS:
                self.events.process_paused(pause)


def retry_limit(settings: PlatformNodeSettings) -> RetryLimit:
    """Return the fleet-wide retry limit from the settings."""
    return RetryLimit(settings.retry_ratio, settings.retry_slack, settings.retry_window_seconds)


def _refuse_seal(seal: Seal) -> SealAnswer:
    """Refuse to seal a key, because a platform node keeps no records of keys."""
    return SealAnswer(seal.request_id, False)
