"""The machines of a soak test: a node process each, with an upstream in the test process."""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path

import aiohttp
from aiohttp import web

from bamboo_bench.soak.invariants import InvariantChecker, Request
from bamboo_bench.soak.shapes import Shape
from bamboo_standins.fault_proxy import FaultProxy
from bamboo_standins.process_fleet import free_port

# The virtual host of every request.
HOST = "soak.example"
HEARTBEAT_SECONDS = 0.4
GRACE_SECONDS = 6
STOP_TIMEOUT_SECONDS = GRACE_SECONDS + 2.0
RESTART_DELAY_SECONDS = 0.2
SLOTS = 8
# The limit of the settings on the memory of a node's process.
MEMORY_MB = 300
CHILD_SUFFIX = "/inner"
CRASHING_SUFFIX = "/crashing"
CRASH_SECONDS = 2.0
ENDLESS_PIECE = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
NODE_MODULE = "bamboojunction.management.commands.mesh"
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# A node counts as undisturbed again this long after a pause.
PAUSE_RECOVERY_SECONDS = 3.0
# The service that each service calls while it runs a request.
CALLEE_BY_SERVICE = {"pay": "stock"}


def answer_body(request_id: str, path: str) -> bytes:
    """Return the complete body with which an upstream answers a request."""
    return f"{request_id} {path} ".encode() * 20


class Upstream:
    """An HTTP server that runs the requests of its node, with injected faults.

    It reports to the node on the same machine in heartbeats. ``drained_at`` is when the node
    acknowledged that the current incarnation drains.
    """

    def __init__(
        self,
        service: str,
        host: str,
        checker: InvariantChecker,
        shape: Shape,
        clock: Callable[[], float],
    ):
        self._shape = shape
        self._random = random.Random(host)
        self.sends_endless_bodies = False
        self.service = service
        self.host = host
        self.report_address = ""
        self.caller_address = ""
        self.drained_at: float | None = None
        self.slow_seconds = 0.0
        self.loses_answers = False
        self.sends_extra_answers = False
        self._checker = checker
        self._clock = clock
        self._incarnation_numbers = itertools.count(1)
        self._child_numbers = itertools.count(1)
        self._lifecycle_state = "ready"
        self._is_up = True
        self._heartbeat_task: asyncio.Task | None = None
        self._begin_incarnation()

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3.0))
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        self._port = free_port(self.host)
        self._site = web.TCPSite(self._runner, self.host, self._port)
        await self._site.start()
        return f"{self.host}:{self._port}"

    def start_heartbeats(self) -> None:
        """Start reporting to the node of this machine, until closed."""
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def close(self) -> None:
        """Stop the heartbeats and the server."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        await self.session.close()
        await self._runner.cleanup()

    async def crash(self, seconds: float) -> None:
        """Stay down for a time in seconds, then come back as a new incarnation."""
        self._is_up = False
        await asyncio.sleep(seconds)
        self._begin_incarnation()
        self._is_up = True

    async def leave(self, seconds: float) -> None:
        """Drain, keep serving for ``seconds``, deregister and come back as a new incarnation.

        Raise TimeoutError if the node does not acknowledge within ``seconds``.
        """
        self._lifecycle_state = "draining"
        async with asyncio.timeout(seconds):
            while self.drained_at is None:
                await asyncio.sleep(0.02)
        await asyncio.sleep(seconds)
        await self._report("DELETE")
        await self.crash(0.5)

    def _begin_incarnation(self) -> None:
        self.instance_id = f"i-{self.service}-{self.host}-{next(self._incarnation_numbers)}"
        self._lifecycle_state = "ready"
        self.drained_at = None
        self._sequence = itertools.count(1)
        self._started_ms = time.time_ns() // 1_000_000

    async def _send_heartbeats(self) -> None:
        while True:
            if self._is_up:
                await self._report("PUT")
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _report(self, method: str) -> None:
        state, instance_id = self._lifecycle_state, self.instance_id
        url = f"http://{self.report_address}/instances/{instance_id}"
        body = {
            "service": self.service,
            "address": f"{self.host}:1",
            "zone": "lac",
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "cold_left_ms": 0,
            "sequence": next(self._sequence),
            "born": self._started_ms,
        }
        try:
            async with self.session.request(method, url, json=body) as answer:
                is_accepted = answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return
        is_same_incarnation = instance_id == self.instance_id
        if is_accepted and is_same_incarnation and state == "draining" and self.drained_at is None:
            self.drained_at = self._clock()

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers["Bamboojunction-Request-Id"]
        headers = {"Bamboojunction-Request-Id": request_id, "Bamboojunction-Server-Stamp": "s"}
        if not self._is_up:
            _abort(request)
            return web.Response()
        if request.headers["Bamboojunction-Expect-Instance"] != self.instance_id:
            return web.Response(status=421, headers=headers)
        remaining = int(request.headers["Bamboojunction-Deadline-Ms"]) / 1000
        self._checker.check_run(
            request_id, self.service, request.path, self._clock(), remaining, self.drained_at
        )
        if CRASHING_SUFFIX in request.path:
            self._checker.record_crash(request.path)
            self._crash_task = asyncio.create_task(self._end_server(CRASH_SECONDS))
            await asyncio.sleep(CRASH_SECONDS)
        status = await self._call_dependency(request_id, remaining)
        await asyncio.sleep(self._work_seconds(request.path) + self.slow_seconds)
        if self.sends_endless_bodies:
            await self._send_without_end(request, request_id)
        if self.loses_answers or not self._is_up:
            _abort(request)
        body = answer_body(request_id, request.path)
        response = web.Response(status=status, body=body, headers=headers)
        if self.sends_extra_answers:
            # The node may have closed the connection meanwhile.
            with contextlib.suppress(ConnectionResetError):
                await response.prepare(request)
                await response.write_eof()
                request.transport.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmore")
        return response

    def _work_seconds(self, path: str) -> float:
        if path.endswith(CHILD_SUFFIX):
            return self._shape.work_seconds_min
        return self._random.uniform(self._shape.work_seconds_min, self._shape.work_seconds_max)

    async def _end_server(self, seconds: float) -> None:
        """Stop listening and break all connections, then come back as a new incarnation."""
        if not self._is_up:
            return
        self._is_up = False
        await self._site.stop()
        for connection in list(self._runner.server.connections):
            connection.force_close()
        await asyncio.sleep(seconds)
        self._begin_incarnation()
        self._site = web.TCPSite(self._runner, self.host, self._port)
        await self._site.start()
        self._is_up = True

    async def _send_without_end(self, request: web.Request, request_id: str) -> None:
        """Send a body that ends only when the node closes the connection."""
        transport = request.transport
        if transport is None:
            return
        transport.write(
            f"HTTP/1.1 200 OK\r\nBamboojunction-Request-Id: {request_id}\r\n"
            "Bamboojunction-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        while not transport.is_closing():
            if transport.get_write_buffer_size() < len(ENDLESS_PIECE):
                transport.write(ENDLESS_PIECE)
            await asyncio.sleep(0.001)

    async def _call_dependency(self, parent: str, remaining: float) -> int:
        """Call the service that this one depends on, and return the status to answer with."""
        service = CALLEE_BY_SERVICE.get(self.service)
        if service is None:
            return 200
        request_id = f"{parent}.{next(self._child_numbers)}"
        path = f"/{service}{CHILD_SUFFIX}"
        deadline = self._clock() + remaining
        self._checker.record_request(request_id, Request(service, False, path, deadline))
        headers = request_headers(request_id, remaining)
        url = f"http://{self.caller_address}{path}"
        try:
            async with self.session.get(url, headers=headers) as answer:
                await answer.read()
                return 200 if answer.status == 200 else 500
        except (aiohttp.ClientError, TimeoutError):
            return 500


def _abort(request: web.Request) -> None:
    """Close the connection of a request without an answer, unless it is closed."""
    if request.transport is not None:
        request.transport.abort()


def request_headers(request_id: str, remaining: float) -> dict[str, str]:
    """Return the headers of a request that has ``remaining`` seconds left."""
    return {
        "Host": HOST,
        "Bamboojunction-Request-Id": request_id,
        "Bamboojunction-Deadline-Ms": str(int(remaining * 1000)),
    }


class Machine:
    """A node process with its upstream, and a fault proxy each for the upstream and the store.

    The node runs the code of ``checkout``, or the installed code if that is None.
    """

    def __init__(
        self,
        name: str,
        upstream: Upstream,
        data_centre: str,
        directory: Path,
        checker: InvariantChecker,
        checkout: Path | None = None,
    ):
        self.name = name
        self.upstream = upstream
        self.caller_address = ""
        self.is_down = False
        self.stop_began_at: float | None = None
        self.memory_peak_bytes = 0
        self._checker = checker
        self._disturbed_until = 0.0
        self._loop = asyncio.get_running_loop()
        self._data_centre = data_centre
        self._directory = directory
        self._checkout = checkout
        self._process: asyncio.subprocess.Process | None = None
        self._watch_task: asyncio.Task | None = None

    async def start(self, store_address: str) -> None:
        """Start the upstream, the proxies and the node."""
        host = self.upstream.host
        self.to_upstream = FaultProxy(f"{host}:0", await self.upstream.start())
        self.to_store = FaultProxy(f"{host}:0", store_address)
        upstream_port = await self.to_upstream.start()
        store_port = await self.to_store.start()
        listen = {name: f"{host}:{free_port(host)}" for name in ("outbound", "ready", "control")}
        self.caller_address = self.upstream.caller_address = listen["outbound"]
        self.upstream.report_address = listen["control"]
        port = free_port(host)
        settings = {
            "self": {
                "node": self.name,
                "zone": self._data_centre,
                "region": "nord",
                "ip": host,
                "app_addr": f"{host}:{upstream_port}",
                "service": self.upstream.service,
                "limits": {"memory_mb": MEMORY_MB},
            },
            "network": {"listen": listen, "port_range": [port, port]},
            "provider": {"provider": {"address": f"{host}:{store_port}"}},
            "terms": {"bounds": {"grace_s": GRACE_SECONDS, "budget_slack": 48}},
        }
        self.settings_path = self._directory / f"{self.name}.yaml"
        self.settings_path.write_text(json.dumps(settings))
        self.log_path = self._directory / f"{self.name}.log"
        await self.start_node()
        self.upstream.start_heartbeats()

    @property
    def process_id(self) -> int:
        """Return the id of the node's process."""
        return self._process.pid

    async def start_node(self) -> None:
        """Start the node's process, which appends to the log of this machine."""
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                NODE_MODULE,
                stdout=log,
                stderr=log,
                # The interpreter looks for modules in its working directory first.
                cwd=self._checkout,
                env={"BAMBOOJUNCTION_NODE_FILE": str(self.settings_path)},
            )
        self.is_down = False
        self._watch_task = asyncio.create_task(self._restart_on_exit(self._process))

    async def _restart_on_exit(self, process: asyncio.subprocess.Process) -> None:
        """Restart the node's process when it exits unexpectedly, as the platform does."""
        status = await process.wait()
        if not self.is_down:
            self._checker.record_exit(self.name, status)
            await self.start_node()

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the node's process unless it has exited."""
        if self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def pause_node(self, seconds: float) -> None:
        """Suspend the node's process for a time in seconds, like a machine that stalls."""
        self._disturbed_until = float("inf")
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send_signal(signal.SIGCONT)
        self._disturbed_until = self._loop.time() + PAUSE_RECOVERY_SECONDS

    def is_undisturbed(self) -> bool:
        """Return whether the node has not been paused recently."""
        return self._loop.time() >= self._disturbed_until

    async def terminate_node(self, signal_number: signal.Signals) -> None:
        """Terminate the node's process with a signal; kill it if it does not exit in time."""
        self.is_down = True
        if signal_number is signal.SIGTERM:
            self.stop_began_at = self._loop.time()
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal_number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                await self._process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()
        self.stop_began_at = None

    def check_memory(self) -> None:
        """Check the resident memory of the node's process against its limit."""
        try:
            pages = int(Path(f"/proc/{self.process_id}/statm").read_text().split()[1])
        except (OSError, IndexError):
            # The process has just ended.
            return
        used_bytes = pages * PAGE_BYTES
        self.memory_peak_bytes = max(self.memory_peak_bytes, used_bytes)
        self._checker.check_memory(self.name, used_bytes, MEMORY_MB * 1_000_000)

    async def restart_node(self, signal_number: signal.Signals) -> None:
        """Terminate the node's process and start it again."""
        if self.is_down:
            return
        await self.terminate_node(signal_number)
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        await self.start_node()

    async def close(self) -> None:
        """Kill the node and close the upstream and the proxies."""
        await self.terminate_node(signal.SIGKILL)
        await self.upstream.close()
        await self.to_upstream.stop()
        await self.to_store.stop()
