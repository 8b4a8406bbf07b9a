"""The machines of a run: a node process each, beside an upstream in the process of the run."""

import asyncio
import contextlib
import itertools
import json
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path

import aiohttp
from aiohttp import web

from bamboo_bench.soak.promises import Promises, Request
from bamboo_standins.fault_proxy import FaultProxy
from bamboo_standins.fleet import free_port

HOST = "soak.example"
BEAT_SECONDS = 0.4
GRACE_SECONDS = 6
STOP_SECONDS_MAX = GRACE_SECONDS + 2.0
RESTART_SECONDS = 0.2
SLOTS = 8
WORK_SECONDS = 0.02
DEADLINE_SECONDS = 1.5
PROGRAM = "bamboojunction.management.commands.mesh"
# A node counts as undisturbed this long after a pause.
CONTACT_SECONDS = 3.0
# The service that each service calls while it runs a request.
CALLS = {"pay": "stock"}


def answer_body(request_id: str, path: str) -> bytes:
    """Return the whole body that an upstream gives to a request."""
    return f"{request_id} {path} ".encode() * 20


class Upstream:
    """Run requests as a server beside a node does, with the faults that are set."""

    def __init__(self, service: str, host: str, promises: Promises, clock: Callable[[], float]):
        self.service = service
        self.host = host
        self.report_address = ""
        self.caller_address = ""
        self.drained_at: float | None = None
        self.slow_seconds = 0.0
        self.loses_answers = False
        self.spoils_answers = False
        self._promises = promises
        self._clock = clock
        self._ids = itertools.count(1)
        self._children = itertools.count(1)
        self._state = "ready"
        self._is_up = True
        self._beats: asyncio.Task | None = None
        self._renew()

    async def start(self) -> str:
        """Listen and return the address."""
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3.0))
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        port = free_port(self.host)
        await web.TCPSite(self._runner, self.host, port).start()
        return f"{self.host}:{port}"

    def begin_beats(self) -> None:
        """Report to the node beside it until closed."""
        self._beats = asyncio.create_task(self._beat_on())

    async def close(self) -> None:
        """End everything."""
        if self._beats is not None:
            self._beats.cancel()
        await self.session.close()
        await self._runner.cleanup()

    async def crash(self, seconds: float) -> None:
        """Be down for a time and come back as a new incarnation."""
        self._is_up = False
        await asyncio.sleep(seconds)
        self._renew()
        self._is_up = True

    async def leave(self, seconds: float) -> None:
        """Report that it drains, serve on for a while, depart and come back as a new one."""
        self._state = "draining"
        async with asyncio.timeout(seconds):
            while self.drained_at is None:
                await asyncio.sleep(0.02)
        await asyncio.sleep(seconds)
        await self._report("DELETE")
        await self.crash(0.5)

    def _renew(self) -> None:
        self.instance_id = f"i-{self.service}-{self.host}-{next(self._ids)}"
        self._state = "ready"
        self.drained_at = None
        self._sequence = itertools.count(1)
        self._born_ms = time.time_ns() // 1_000_000

    async def _beat_on(self) -> None:
        while True:
            if self._is_up:
                await self._report("PUT")
            await asyncio.sleep(BEAT_SECONDS)

    async def _report(self, method: str) -> None:
        state, instance_id = self._state, self.instance_id
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
            "born": self._born_ms,
        }
        try:
            async with self.session.request(method, url, json=body) as answer:
                is_done = answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return
        is_own = instance_id == self.instance_id
        if is_done and is_own and state == "draining" and self.drained_at is None:
            self.drained_at = self._clock()

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers["Bamboojunction-Request-Id"]
        headers = {"Bamboojunction-Request-Id": request_id, "Bamboojunction-Server-Stamp": "s"}
        if not self._is_up:
            request.transport.abort()
            return web.Response()
        if request.headers["Bamboojunction-Expect-Instance"] != self.instance_id:
            return web.Response(status=421, headers=headers)
        remaining = int(request.headers["Bamboojunction-Deadline-Ms"]) / 1000
        self._promises.ran(
            request_id, self.service, request.path, self._clock(), remaining, self.drained_at
        )
        status = await self._call_on(request_id, remaining)
        await asyncio.sleep(WORK_SECONDS + self.slow_seconds)
        if self.loses_answers or not self._is_up:
            request.transport.abort()
        body = answer_body(request_id, request.path)
        response = web.Response(status=status, body=body, headers=headers)
        if self.spoils_answers:
            # The node may have closed the connection meanwhile.
            with contextlib.suppress(ConnectionResetError):
                await response.prepare(request)
                await response.write_eof()
                request.transport.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmore")
        return response

    async def _call_on(self, parent: str, remaining: float) -> int:
        """Make the call that this service needs, and return the status that follows."""
        service = CALLS.get(self.service)
        if service is None:
            return 200
        request_id = f"{parent}.{next(self._children)}"
        path = f"/{service}/inner"
        deadline = self._clock() + remaining
        self._promises.sent(request_id, Request(service, False, path, deadline))
        headers = request_headers(request_id, remaining)
        url = f"http://{self.caller_address}{path}"
        try:
            async with self.session.get(url, headers=headers) as answer:
                await answer.read()
                return 200 if answer.status == 200 else 500
        except (aiohttp.ClientError, TimeoutError):
            return 500


def request_headers(request_id: str, remaining: float) -> dict[str, str]:
    """Return the headers of a request with that much time left, in seconds."""
    return {
        "Host": HOST,
        "Bamboojunction-Request-Id": request_id,
        "Bamboojunction-Deadline-Ms": str(int(remaining * 1000)),
    }


class Machine:
    """Own one node process, its upstream and the proxies before the upstream and the store."""

    def __init__(
        self, name: str, upstream: Upstream, data_centre: str, folder: Path, promises: Promises
    ):
        self.name = name
        self.upstream = upstream
        self.caller_address = ""
        self.is_down = False
        self._promises = promises
        self._disturbed_until = 0.0
        self._loop = asyncio.get_running_loop()
        self._data_centre = data_centre
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._watcher: asyncio.Task | None = None

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
            },
            "network": {"listen": listen, "port_range": [port, port]},
            "provider": {"provider": {"address": f"{host}:{store_port}"}},
            "terms": {"bounds": {"grace_s": GRACE_SECONDS, "budget_slack": 48}},
        }
        self.settings_path = self._folder / f"{self.name}.yaml"
        self.settings_path.write_text(json.dumps(settings))
        self.log_path = self._folder / f"{self.name}.log"
        await self.start_node()
        self.upstream.begin_beats()

    async def start_node(self) -> None:
        """Start the node's process; its log is kept in the folder of the run."""
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                PROGRAM,
                stdout=log,
                stderr=log,
                env={"BAMBOOJUNCTION_NODE_FILE": str(self.settings_path)},
            )
        self.is_down = False
        self._watcher = asyncio.create_task(self._watch(self._process))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Start a process that ends by itself again, as the platform does."""
        status = await process.wait()
        if not self.is_down:
            self._promises.ended(self.name, status)
            await self.start_node()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the node's process, if it has not ended."""
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def pause_node(self, seconds: float) -> None:
        """Stop the node's process for a time, as a machine that stands still."""
        self._disturbed_until = float("inf")
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send_signal(signal.SIGCONT)
        self._disturbed_until = self._loop.time() + CONTACT_SECONDS

    def is_in_touch(self) -> bool:
        """Return whether the node did not stand still of late."""
        return self._loop.time() >= self._disturbed_until

    async def end_node(self, number: signal.Signals) -> None:
        """End the node's process; one that does not end in its time is killed."""
        self.is_down = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        try:
            async with asyncio.timeout(STOP_SECONDS_MAX):
                await self._process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()

    async def restart_node(self, number: signal.Signals) -> None:
        """End the node's process and start it again."""
        if self.is_down:
            return
        await self.end_node(number)
        await asyncio.sleep(RESTART_SECONDS)
        await self.start_node()

    async def close(self) -> None:
        """End the node, the upstream and the proxies."""
        await self.end_node(signal.SIGKILL)
        await self.upstream.close()
        await self.to_upstream.stop()
        await self.to_store.stop()
