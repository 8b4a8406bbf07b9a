"""The upstreams of a soak test: HTTP servers in the test process, with injected faults."""

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable

import aiohttp
from aiohttp import web

from bamboo_bench.soak.exchange import create_session
from bamboo_bench.soak.invariants import InvariantChecker, Run, RunEnd
from bamboo_bench.soak.runs import Runs
from bamboo_bench.soak.shapes import Shape
from bamboo_standins.fault_proxy import FaultProxy
from bamboo_standins.process_fleet import free_port

HEARTBEAT_SECONDS = 0.4
REPORT_TIMEOUT = aiohttp.ClientTimeout(total=3.0)
CRASHING_SUFFIX = "/crashing"
CRASH_SECONDS = 2.0
ENDLESS_PIECE = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"


def answer_body(request_id: str, path: str) -> bytes:
    """Return the complete body with which an upstream answers a request."""
    return f"{request_id} {path} ".encode() * 20


class Upstream:
    """An HTTP server that runs the requests of its node, with injected faults.

    It reports to the node on the same machine in heartbeats. ``proxy`` is the one in front of it.
    ``drained_at`` is when the node acknowledged that the current incarnation drains.
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
        self.runs = Runs(service, host, checker, shape, clock)
        self.sends_endless_bodies = False
        self.service = service
        self.host = host
        self.proxy: FaultProxy | None = None
        self._current_runs: set[Run] = set()
        self.data_centre = ""
        self.report_address = ""
        self.drained_at: float | None = None
        self.loses_answers = False
        self.sends_extra_answers = False
        self._checker = checker
        self._clock = clock
        self._incarnation_numbers = itertools.count(1)
        self._lifecycle_state = "ready"
        self._is_up = True
        self._heartbeat_task: asyncio.Task | None = None
        self._begin_incarnation()

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        self.session = create_session()
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
        """Break all connections, refuse new ones for a time in seconds, then come back as another.

        Do nothing if the upstream is down.
        """
        if self._is_up:
            await self._end_server()
            await asyncio.sleep(seconds)
            await self._begin_server()

    async def leave(self, seconds: float) -> None:
        """Drain, deregister after ``seconds`` and come back as a new incarnation.

        Raise TimeoutError if the node does not acknowledge within ``seconds``.
        """
        await self._drain(seconds)
        await self.crash(0.5)

    async def end(self, seconds: float) -> None:
        """Drain, deregister after ``seconds`` and end; without an acknowledgement, end anyway."""
        with contextlib.suppress(TimeoutError):
            await self._drain(seconds)
        await self._end_server()

    async def begin(self, service: str) -> None:
        """Start the ended upstream at its address as a new one of a service."""
        await self._end_server()
        self.service = service
        self.runs = self.runs.of_service(service)
        await self._begin_server()

    async def _drain(self, seconds: float) -> None:
        """Drain, keep serving for ``seconds`` and deregister.

        Raise TimeoutError if the node does not acknowledge within ``seconds``.
        """
        self._lifecycle_state = "draining"
        async with asyncio.timeout(seconds):
            while self.drained_at is None:
                await asyncio.sleep(0.02)
        await asyncio.sleep(seconds)
        await self._report("DELETE")

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
            "zone": self.data_centre,
            "version": "v1",
            "slots": self.runs.slot_count,
            "state": state,
            "cold_left_ms": 0,
            "sequence": next(self._sequence),
            "born": self._started_ms,
        }
        try:
            async with self.session.request(
                method, url, json=body, timeout=REPORT_TIMEOUT
            ) as answer:
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
        service, path = self.runs.identify(request.path, request_id, await request.read())
        self._checker.record_arrival(request_id, service, self._clock())
        if request.headers["Bamboojunction-Expect-Instance"] != self.instance_id:
            return web.Response(status=421, headers=headers)
        if self.runs.is_full:
            headers["Bamboojunction-Not-Executed"] = "full"
            return web.Response(status=503, headers=headers)
        remaining = _remaining_seconds(request)
        run = self._checker.check_run(
            request_id,
            service,
            path,
            self._clock(),
            remaining,
            self.drained_at,
            self.runs.machine,
            self.instance_id,
        )
        self._current_runs.add(run)
        try:
            return await self._run(request, request_id, run, remaining, headers)
        finally:
            self._current_runs.discard(run)

    async def _run(
        self,
        request: web.Request,
        request_id: str,
        run: Run,
        remaining: float | None,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        if CRASHING_SUFFIX in request.path:
            self._checker.record_crash(request.path, self._clock())
            self._crash_task = asyncio.create_task(self.crash(CRASH_SECONDS))
            await asyncio.sleep(CRASH_SECONDS)
        status = await self.runs.run(self.session, request.path, request_id, run, remaining)
        if self.sends_endless_bodies:
            run.finish(self._clock(), RunEnd.BROKEN_OFF)
            await self._send_without_end(request, request_id)
        # A crash or a body without end has ended the run already.
        if run.end is not None or self.loses_answers or not self._is_up:
            _abort(request)
            if run.end is None:
                run.finish(self._clock(), RunEnd.BROKEN_OFF)
            return web.Response()
        headers["Bamboojunction-Server-Load"] = self.runs.load
        body = answer_body(request_id, request.path)
        response = web.Response(status=status, body=body, headers=headers)
        if self.sends_extra_answers:
            # The node may have closed the connection meanwhile.
            with contextlib.suppress(ConnectionResetError):
                await response.prepare(request)
                await response.write_eof()
                request.transport.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmore")
        run.finish(self._clock(), RunEnd.ANSWERED)
        return response

    async def _end_server(self) -> None:
        """Stop listening and break all connections."""
        if not self._is_up:
            return
        self._is_up = False
        for run in self._current_runs:
            run.finish(self._clock(), RunEnd.CRASHED)
        self.proxy.refuse()
        await self._site.stop()
        for connection in list(self._runner.server.connections):
            connection.force_close()

    async def _begin_server(self) -> None:
        """Listen again as a new incarnation."""
        if self._is_up:
            return
        self._begin_incarnation()
        self._site = web.TCPSite(self._runner, self.host, self._port)
        await self._site.start()
        await self.proxy.start()
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


def _remaining_seconds(request: web.Request) -> float | None:
    """Return the time that an upstream is given for a request, None if none is told."""
    remaining = request.headers.get("Bamboojunction-Deadline-Ms")
    return None if remaining is None else int(remaining) / 1000


def _abort(request: web.Request) -> None:
    """Close the connection of a request without an answer, unless it is closed."""
    if request.transport is not None:
        request.transport.abort()
