"""HTTP server that stands in for an upstream.

It simulates slots, service times, faults and onward calls, and records effects in a ledger.

Run it as ``python -m bamboo_standins.upstream --help``. ``POST /_faults`` takes the JSON form of
`UpstreamFaults`; omitted fields are reset to their defaults. ``GET /_load`` returns the load report
and ``GET /_health`` the health status. Every other path is a call whose response echoes the request
body.
"""

import argparse
import asyncio
import contextlib
import os
import signal
import time
from collections.abc import Awaitable
from dataclasses import dataclass, field

os.environ["UV_USE_IO_URING"] = "0"  # Set before uvloop is imported: libuv reads it on load.

import aiohttp
import msgspec
import uvloop
from aiohttp import web

CRASH_EXIT_CODE = 70
COLD_START_FACTOR = 5.0
DRAIN_SECONDS_MAX = 20.0
# Calls that may wait for a slot, per slot; the instance sheds further calls.
WAITING_PER_SLOT_MAX = 4
INSTANCE_HEADER = "Upstream-Instance"
CHAIN_HEADER = "Upstream-Chain"


class UpstreamFaults(msgspec.Struct, forbid_unknown_fields=True):
    """The faults in force.

    ``slow_factor`` multiplies service times. ``refuse`` sheds every call. ``crash_on_body`` exits
    the process when a request body contains the text. ``hang`` never finishes a call.
    ``drop_answer`` and ``truncate_answer`` are the numbers of responses still to drop or truncate;
    -1 affects all responses. ``load_report`` is ``honest``, ``idle`` or ``full``.
    """

    slow_factor: float = 1.0
    refuse: bool = False
    crash_on_body: str = ""
    hang: bool = False
    drop_answer: int = 0
    truncate_answer: int = 0
    load_report: str = "honest"


class LedgerEntry(msgspec.Struct):
    """The ledger's record of one executed effect; ``time`` is a Unix timestamp in seconds."""

    key: str
    action: str
    kind: str
    instance: str
    service: str
    time: float


class UpstreamLoadReport(msgspec.Struct):
    """The reported load, which the ``load_report`` fault can make false."""

    slots: int
    in_flight: int
    waiting: int


@dataclass(slots=True, frozen=True)
class OnwardCall:
    """A call to another service that a request makes; an empty ``kind`` matches every kind."""

    service: str
    step: str
    kind: str = ""

    @classmethod
    def parse(cls, text: str) -> "OnwardCall":
        """Parse ``service:step`` or ``kind=service:step``; the step defaults to the service."""
        kind, _, target = text.rpartition("=")
        service, _, step = target.partition(":")
        return cls(service, step or service, kind)


@dataclass(slots=True)
class UpstreamConfig:
    """The configuration of one instance; addresses are ``ip:port``, times are in seconds."""

    address: str
    service: str
    instance: str
    node: str = ""
    slots: int = 16
    seconds: float = 0.02
    seconds_by_kind: dict[str, float] = field(default_factory=dict)
    speed: float = 1.0
    calls: tuple[OnwardCall, ...] = ()
    cold_start_seconds: float = 0.0
    ledger: str = ""
    direct: bool = False


class Ledger:
    """An append-only file of effects that several processes may share."""

    __slots__ = ("_descriptor",)

    def __init__(self, path: str):
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(path, flags, 0o644) if path else -1

    def record(self, entry: LedgerEntry) -> None:
        """Append an entry as one line of JSON, in a single write."""
        if self._descriptor >= 0:
            os.write(self._descriptor, msgspec.json.encode(entry) + b"\n")


class Upstream:
    """An HTTP server that runs a bounded number of calls at a time."""

    def __init__(self, config: UpstreamConfig):
        self.config = config
        self.faults = UpstreamFaults()
        self.draining = False
        self.in_flight = 0
        self.waiting = 0
        self._slots = asyncio.Semaphore(config.slots)
        self._ledger = Ledger(config.ledger)
        self._default_outcome = "ran" if config.direct else ""
        self._started_at = asyncio.get_running_loop().time()
        self._session: aiohttp.ClientSession | None = None
        self._server: asyncio.Server | None = None
        self._web_server: web.Server | None = None

    async def start(self) -> int:
        """Start listening and return the port."""
        host, _, port = self.config.address.rpartition(":")
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
        )
        self._web_server = web.Server(
            self._handle, handler_cancellation=True, access_log=None, keepalive_timeout=3600.0
        )
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._web_server, host, int(port), reuse_address=True, backlog=1024
        )
        return self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening, drain the requests in flight and close."""
        self.draining = True
        self._server.close()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + DRAIN_SECONDS_MAX
        while (self.in_flight or self.waiting) and loop.time() < deadline:
            await asyncio.sleep(0.01)
        self._web_server.pre_shutdown()
        await self._web_server.shutdown(1.0)
        await self._session.close()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.path
        if path.startswith("/_"):
            return await self._handle_control(request, path)
        body = await request.read()
        crash_text = self.faults.crash_on_body
        if crash_text and crash_text.encode() in body:
            os._exit(CRASH_EXIT_CODE)
        if self.faults.refuse or self.waiting >= self.config.slots * WAITING_PER_SLOT_MAX:
            return self._shed_response()
        deadline_ms = request.headers.get("Bamboo-Deadline-Ms")
        if deadline_ms is None:
            return await self._run_call(request, body)
        try:
            async with asyncio.timeout(int(deadline_ms) / 1000):
                return await self._run_call(request, body)
        except TimeoutError:
            return self._response(504, b"deadline")

    async def _run_call(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.in_flight += 1
        try:
            await self._simulate_work(request.headers.get("Bamboo-Kind", ""))
            chain, failure = await self._make_onward_calls(request, body)
            if failure is not None:
                return self._response(502, failure, chain)
            self._record_effect(request)
            return await self._respond(request, body, chain)
        finally:
            self.in_flight -= 1
            self._slots.release()

    async def _simulate_work(self, kind: str) -> None:
        if self.faults.hang:
            await asyncio.Event().wait()
        config = self.config
        seconds = config.seconds_by_kind.get(kind, config.seconds) / config.speed
        seconds *= self.faults.slow_factor * self._cold_start_factor()
        if seconds > 0:
            await asyncio.sleep(seconds)

    def _cold_start_factor(self) -> float:
        cold_start_seconds = self.config.cold_start_seconds
        if not cold_start_seconds:
            return 1.0
        age = asyncio.get_running_loop().time() - self._started_at
        cold_fraction = max(0.0, 1.0 - age / cold_start_seconds)
        return 1.0 + (COLD_START_FACTOR - 1.0) * cold_fraction

    async def _make_onward_calls(
        self, request: web.BaseRequest, body: bytes
    ) -> tuple[str, bytes | None]:
        """Make the onward calls in sequence, up to the first failure.

        Return the chain, which is this instance's name followed by the chains of the called
        instances, and the reason of the failure or None.
        """
        chain = self.config.instance
        kind = request.headers.get("Bamboo-Kind", "")
        for call in self.config.calls:
            if call.kind and call.kind != kind:
                continue
            headers = {
                "Bamboo-Call": request.headers.get("Bamboo-Call", ""),
                "Bamboo-Service": call.service,
                "Bamboo-Step": call.step,
            }
            url = f"http://{self.config.node}{request.path}"
            try:
                async with self._session.request(
                    request.method, url, headers=headers, data=body
                ) as response:
                    await response.read()
            except aiohttp.ClientError as error:
                return chain, f"{call.service} {type(error).__name__}".encode()
            chain = f"{chain} {response.headers.get(CHAIN_HEADER, '')}"
            outcome = response.headers.get("Bamboo-Outcome", self._default_outcome)
            if outcome != "ran" or response.status >= 400:
                reason = response.headers.get("Bamboo-Reason", "")
                return chain, f"{call.service} {outcome} {reason} {response.status}".encode()
        return chain, None

    def _record_effect(self, request: web.BaseRequest) -> None:
        key = request.headers.get("Bamboo-Key")
        if not key:
            return
        entry = LedgerEntry(
            key=key,
            action=request.headers.get("Bamboo-Action", ""),
            kind=request.headers.get("Bamboo-Kind", ""),
            instance=self.config.instance,
            service=self.config.service,
            time=time.time(),
        )
        self._ledger.record(entry)

    async def _respond(
        self, request: web.BaseRequest, body: bytes, chain: str
    ) -> web.StreamResponse:
        faults = self.faults
        if faults.drop_answer:
            faults.drop_answer -= faults.drop_answer > 0
            request.transport.abort()
            return self._response(500, b"")
        if faults.truncate_answer:
            faults.truncate_answer -= faults.truncate_answer > 0
            return await self._respond_truncated(request, body)
        return self._response(200, body, chain)

    async def _respond_truncated(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        full_body = body or b"truncated"
        response = web.StreamResponse(headers={INSTANCE_HEADER: self.config.instance})
        response.content_length = len(full_body)
        await response.prepare(request)
        await response.write(full_body[: len(full_body) // 2])
        request.transport.close()
        return response

    def _response(self, status: int, body: bytes, chain: str = "") -> web.Response:
        headers = {INSTANCE_HEADER: self.config.instance}
        if chain:
            headers[CHAIN_HEADER] = chain
        return web.Response(status=status, body=body, headers=headers)

    def _shed_response(self) -> web.Response:
        response = self._response(503, b"shed")
        # The node forwards this outcome to its caller: nothing of the request was executed.
        response.headers["Bamboo-Outcome"] = "not-run"
        return response

    async def _handle_control(self, request: web.BaseRequest, path: str) -> web.StreamResponse:
        match (request.method, path):
            case ("GET", "/_health"):
                return self._response(503 if self.draining else 200, b"")
            case ("GET", "/_load"):
                return self._response(200, msgspec.json.encode(self._load_report()))
            case ("POST", "/_faults"):
                return self._set_faults(await request.read())
        return self._response(404, b"")

    def _load_report(self) -> UpstreamLoadReport:
        slots = self.config.slots
        match self.faults.load_report:
            case "idle":
                return UpstreamLoadReport(slots, 0, 0)
            case "full":
                return UpstreamLoadReport(slots, slots, slots)
        return UpstreamLoadReport(slots, self.in_flight, self.waiting)

    def _set_faults(self, body: bytes) -> web.Response:
        try:
            self.faults = msgspec.json.decode(body, type=UpstreamFaults, strict=False)
        except msgspec.MsgspecError as error:
            return self._response(400, str(error).encode())
        return self._response(200, msgspec.json.encode(self.faults))


async def serve(config: UpstreamConfig) -> None:
    """Run an upstream until SIGTERM or SIGINT, then drain it."""
    upstream = Upstream(config)
    port = await upstream.start()
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    print(f"listening instance={config.instance} port={port}", flush=True)
    await stop_requested.wait()
    await upstream.stop()


def run(main: Awaitable[None]) -> None:
    """Run a stand-in's main coroutine on uvloop."""
    with contextlib.suppress(KeyboardInterrupt):
        uvloop.run(main)


def parse_arguments(arguments: list[str] | None = None) -> UpstreamConfig:
    """Parse the command line into a configuration."""
    parser = argparse.ArgumentParser(prog="bamboo_standins.upstream", description=__doc__)
    parser.add_argument(
        "--address", required=True, help="ip:port to listen on; port 0 picks a free one"
    )
    parser.add_argument("--service", required=True)
    parser.add_argument("--instance", required=True)
    parser.add_argument("--node", default="", help="ip:port of the node's caller address")
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=0.02, help="default service time")
    parser.add_argument("--kind-seconds", nargs="*", default=[], metavar="KIND=SECONDS")
    parser.add_argument("--speed", type=float, default=1.0, help="divisor of the service times")
    parser.add_argument(
        "--calls", default="", help="onward calls: [KIND=]SERVICE:STEP, comma-separated"
    )
    parser.add_argument("--cold-start-seconds", type=float, default=0.0)
    parser.add_argument("--ledger", default="", help="file to append effects to")
    parser.add_argument(
        "--direct",
        action="store_true",
        help="--node is the address of another upstream, not of a node",
    )
    values = vars(parser.parse_args(arguments))
    seconds_parts = (text.rpartition("=") for text in values.pop("kind_seconds"))
    seconds_by_kind = {kind: float(seconds) for kind, _, seconds in seconds_parts}
    call_texts = (text for text in values.pop("calls").split(",") if text)
    calls = tuple(OnwardCall.parse(text) for text in call_texts)
    return UpstreamConfig(**values, seconds_by_kind=seconds_by_kind, calls=calls)


if __name__ == "__main__":
    run(serve(parse_arguments()))
