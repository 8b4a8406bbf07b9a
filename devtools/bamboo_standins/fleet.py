"""Starts a platform stand-in, upstreams and nodes as real processes on the loopback range.

Each data centre has its own addresses: instance N of data centre D is at 127.D.0.N, so that a fault
proxy can tell by the source address which data centre a connection comes from.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from bamboo_standins.fault_proxy import FaultProxy, ProxyFaults
from bamboojunction.core.table.csvfile import parse_table
from bamboojunction.core.table.objects import Edit, table_value
from bamboojunction.platform.http import HttpPlatformClient

READY_SECONDS = 30.0
# What an error quotes of the log of a process that has ended.
LOG_END_CHARACTERS = 600
POLL_SECONDS = 0.05
STOP_SECONDS = 30.0
FIRST_DATA_CENTRE = 10
LISTENING_PORTS = (10_000, 32_000)
STATE_TIMEOUT = aiohttp.ClientTimeout(total=5.0)
LINK_SECRET = "fleet-secret"

_PORTS = random.SystemRandom()


@dataclass(slots=True, frozen=True)
class InstancePlan:
    """Describe one upstream instance and its node; ``calls`` is the upstream's ``--calls``."""

    instance: str
    service: str
    data_centre: str
    region: str = "region"
    slots: int = 16
    connections: int = 64
    seconds: float = 0.005
    speed: float = 1.0
    cold_start_seconds: float = 0.0
    calls: str = ""


@dataclass(slots=True)
class RunningInstance:
    """Hold the processes and addresses of one instance."""

    plan: InstancePlan
    host: str
    link_port: int
    caller_port: int
    upstream_port: int
    proxy: FaultProxy
    proxy_port: int
    node: asyncio.subprocess.Process | None = None
    upstream: asyncio.subprocess.Process | None = None
    is_stopping: bool = False

    @property
    def caller_address(self) -> str:
        """Return where callers reach the node."""
        return f"{self.host}:{self.caller_port}"

    @property
    def upstream_address(self) -> str:
        """Return where the upstream listens."""
        return f"{self.host}:{self.upstream_port}"


@dataclass(slots=True, frozen=True)
class Answer:
    """Hold one answer as a caller sees it."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """Return the outcome header."""
        return self.headers.get("Bamboo-Outcome", "")

    @property
    def reason(self) -> str:
        """Return the reason header."""
        return self.headers.get("Bamboo-Reason", "")


@dataclass(slots=True)
class Fleet:
    """Own the processes of a whole example; ``directory`` takes settings, logs and the ledger.

    With ``proxied``, nodes reach each other through a fault proxy in this process.
    ``platform_by_instance`` gives some nodes another address of the platform, a proxy for example.
    """

    directory: Path
    plans: list[InstancePlan]
    table_text: str
    extra_settings: str = ""
    proxied: bool = True
    by_instance: dict[str, RunningInstance] = field(default_factory=dict)
    platform_port: int = 0
    platform_by_instance: dict[str, str] = field(default_factory=dict)
    _platform: asyncio.subprocess.Process | None = None
    _session: aiohttp.ClientSession | None = None
    _extra: list[asyncio.subprocess.Process] = field(default_factory=list)
    _process_by_log: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)

    async def start(self) -> None:
        """Start everything and wait until each node sees all others and the table."""
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.platform_port = self.platform_port or free_port("127.0.0.1")
        await self.start_platform()
        await self.write_table(self.table_text, 0)
        for plan in self.plans:
            self.by_instance[plan.instance] = await self._place(plan)
        await asyncio.gather(*(self.start_upstream(name) for name in self.by_instance))
        await asyncio.gather(*(self.start_node(name) for name in self.by_instance))
        await asyncio.gather(*(self.wait_whole(name) for name in self.by_instance))

    async def stop(self) -> None:
        """End every process that was started."""
        processes = [self._platform, *self._extra]
        for running in self.by_instance.values():
            processes += [running.node, running.upstream]
            await running.proxy.stop()
        await asyncio.gather(*(_end(process) for process in processes if process))
        if self._session is not None:
            await self._session.close()

    @property
    def ledger_path(self) -> Path:
        """Return the file of all effects."""
        return self.directory / "ledger"

    def effects(self) -> list[dict]:
        """Return the effects that truly happened."""
        if not self.ledger_path.exists():
            return []
        return [json.loads(line) for line in self.ledger_path.read_text().splitlines()]

    async def start_platform(self) -> None:
        """Start the platform stand-in, empty."""
        address = f"127.0.0.1:{self.platform_port}"
        self._platform = await self.spawn(
            "platform", "bamboo_standins.platform", ["--address", address]
        )
        await self.wait_http(f"http://{address}/_counts")

    async def platform_faults(self, **faults) -> None:
        """Set the faults of the platform stand-in."""
        url = f"http://127.0.0.1:{self.platform_port}/_faults"
        async with self._session.post(url, json=faults) as response:
            response.raise_for_status()

    async def write_table(self, text: str, if_version: int) -> int:
        """Write the table and return the platform's version of it."""
        table = parse_table(text, if_version, "").unwrap()
        edit = Edit(f"edit-{if_version}", "fleet", "")
        value = table_value(table, edit, if_version, {}, [])
        async with self._platform_client() as client:
            return (await client.put("tables", "table", value, if_version)).unwrap().version

    async def table_version(self) -> int:
        """Return the platform's version of the table."""
        async with self._platform_client() as client:
            return (await client.get("tables", "table")).unwrap().version

    @contextlib.asynccontextmanager
    async def _platform_client(self):
        client = HttpPlatformClient([f"127.0.0.1:{self.platform_port}"], timeout_seconds=5.0)
        try:
            yield client
        finally:
            await client.close()

    async def start_upstream(self, name: str) -> None:
        """Start the upstream stand-in of an instance."""
        running = self.by_instance[name]
        plan = running.plan
        arguments = [
            *("--address", running.upstream_address),
            *("--service", plan.service),
            *("--instance", plan.instance),
            *("--node", running.caller_address),
            *("--slots", str(plan.slots)),
            *("--seconds", str(plan.seconds)),
            *("--speed", str(plan.speed)),
            *("--cold-start-seconds", str(plan.cold_start_seconds)),
            *("--calls", plan.calls),
            *("--ledger", str(self.ledger_path)),
        ]
        running.upstream = await self.spawn(
            f"{name}-upstream", "bamboo_standins.upstream", arguments
        )
        await self.wait_http(f"http://{running.upstream_address}/_health")

    async def upstream_faults(self, name: str, **faults) -> None:
        """Set the faults of an upstream stand-in."""
        url = f"http://{self.by_instance[name].upstream_address}/_faults"
        async with self._session.post(url, json=faults) as response:
            response.raise_for_status()

    async def start_node(self, name: str) -> None:
        """Start the node of an instance."""
        running = self.by_instance[name]
        path = self.directory / f"{name}.ini"
        path.write_text(self._settings_text(running))
        running.is_stopping = False
        running.node = await self.spawn(
            f"{name}-node", "bamboojunction.management.commands.node", [str(path)]
        )

    async def wait_state(
        self, name: str, condition: Callable[[dict], bool], seconds: float = READY_SECONDS
    ) -> dict:
        """Poll a node's state page until a condition holds."""
        try:
            async with asyncio.timeout(seconds):
                while True:
                    state = await self.state(name)
                    if state is not None and condition(state):
                        return state
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            raise TimeoutError(f"{name} is not in the state; {self._ended()}") from None

    async def state(self, name: str) -> dict | None:
        """Read a node's state page."""
        url = f"http://{self.by_instance[name].caller_address}/_bamboo/state"
        try:
            async with self._session.get(url, timeout=STATE_TIMEOUT) as response:
                return await response.json()
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def call(
        self, name: str, kind: str, *, body: bytes = b"", method: str = "POST", **headers: str
    ) -> Answer:
        """Send a call to a node; a keyword ``deadline_ms`` becomes ``Bamboo-Deadline-Ms``."""
        sent = {"Bamboo-Kind": kind}
        sent |= {_header(key): str(value) for key, value in headers.items()}
        url = f"http://{self.by_instance[name].caller_address}/work"
        async with self._session.request(method, url, data=body, headers=sent) as response:
            return Answer(response.status, response.headers, await response.read())

    async def home(self, name: str) -> str:
        """Return a node's current home prefix for keys."""
        url = f"http://{self.by_instance[name].caller_address}/_bamboo/home"
        async with self._session.get(url) as response:
            return await response.text()

    def cut_data_centre(self, data_centre: str) -> None:
        """Cut the links between a data centre and all others, both ways."""
        for target in self.by_instance.values():
            for source in self.by_instance.values():
                inside = {target.plan.data_centre, source.plan.data_centre}
                if len(inside) == 2 and data_centre in inside:
                    target.proxy.set_faults(ProxyFaults(cut=True), source.host)

    def heal(self) -> None:
        """Take back every fault of the links."""
        for running in self.by_instance.values():
            running.proxy.clear_faults()

    async def restore(self) -> None:
        """Take back every fault, restart what died and wait until every node sees all others."""
        self.heal()
        await self.platform_faults()
        for name, running in self.by_instance.items():
            if running.upstream.returncode is not None:
                await self.start_upstream(name)
            await self.upstream_faults(name)
            if running.node.returncode is None:
                self.signal_node(name, signal.SIGCONT)
            if running.is_stopping:
                await asyncio.wait_for(running.node.wait(), STOP_SECONDS)
            if running.node.returncode is not None:
                await self.start_node(name)
        await asyncio.gather(*(self.wait_whole(name) for name in self.by_instance))

    async def wait_whole(self, name: str) -> None:
        """Wait until a node sees every instance serving."""

        def is_whole(state: dict) -> bool:
            serving = {
                entry["instance"] for entry in state["upstreams"] if entry["state"] == "serving"
            }
            return state["table_version"] > 0 and serving == set(self.by_instance)

        await self.wait_state(name, is_whole)

    def signal_node(self, name: str, signal_number: int) -> None:
        """Send a signal to a node's process."""
        running = self.by_instance[name]
        running.is_stopping |= signal_number == signal.SIGTERM
        running.node.send_signal(signal_number)

    async def kill_node(self, name: str) -> None:
        """Kill a node's process and wait for its end."""
        await _kill(self.by_instance[name].node)

    async def kill_upstream(self, name: str) -> None:
        """Kill an upstream's process and wait for its end."""
        await _kill(self.by_instance[name].upstream)

    async def stop_node(self, name: str) -> int:
        """Stop a node gracefully and return its exit code."""
        self.signal_node(name, signal.SIGTERM)
        return await asyncio.wait_for(self.by_instance[name].node.wait(), STOP_SECONDS)

    async def _place(self, plan: InstancePlan) -> RunningInstance:
        centres = sorted({each.data_centre for each in self.plans})
        peers = [each.instance for each in self.plans if each.data_centre == plan.data_centre]
        second = FIRST_DATA_CENTRE + centres.index(plan.data_centre)
        host = f"127.{second}.0.{peers.index(plan.instance) + 1}"
        link_port = free_port(host)
        proxy = FaultProxy(f"{host}:0", f"{host}:{link_port}")
        proxy_port = await proxy.start()
        return RunningInstance(
            plan, host, link_port, free_port(host), free_port(host), proxy, proxy_port
        )

    def _settings_text(self, running: RunningInstance) -> str:
        plan = running.plan
        platform = f"127.0.0.1:{self.platform_port}"
        platform = self.platform_by_instance.get(plan.instance, platform)
        return f"""[node]
instance = {plan.instance}
service = {plan.service}
data_centre = {plan.data_centre}
region = {plan.region}
link_address = {running.host}:{running.link_port}
link_advertised_address = {self._peer_address(running)}
caller_address = {running.caller_address}

[upstream]
address = {running.upstream_address}
slots = {plan.slots}
connections = {plan.connections}
cold_start_seconds = {plan.cold_start_seconds}

[platform]
addresses = {platform}

[links]
secret = {LINK_SECRET}
seeds = {self._seeds(running)}
{self.extra_settings}"""

    def _seeds(self, running: RunningInstance) -> str:
        """Return the link addresses of the first other instance of each data centre."""
        others = [each for each in self.by_instance.values() if each is not running]
        first_by_data_centre: dict[str, RunningInstance] = {}
        for each in others:
            first_by_data_centre.setdefault(each.plan.data_centre, each)
        return " ".join(self._peer_address(each) for each in first_by_data_centre.values())

    def _peer_address(self, running: RunningInstance) -> str:
        port = running.proxy_port if self.proxied else running.link_port
        return f"{running.host}:{port}"

    async def spawn_extra(self, log_name: str, module: str, arguments: list[str]) -> None:
        """Start one more process, which ends with the fleet."""
        self._extra.append(await self.spawn(log_name, module, arguments))

    async def spawn(self, log_name: str, module: str, arguments: list[str]):
        """Start a Python module as a process whose output goes to a log file."""
        with (self.directory / f"{log_name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", module, *arguments),
                stdout=log,
                stderr=log,
                env={**os.environ, "UV_USE_IO_URING": "0"},
            )
        self._process_by_log[log_name] = process
        return process

    def _ended(self) -> str:
        """Tell which of the latest processes have ended, with the end of their logs."""
        ended = [name for name, process in self._process_by_log.items() if process.returncode]
        logs = (
            (self.directory / f"{name}.log").read_text()[-LOG_END_CHARACTERS:] for name in ended
        )
        return "; ".join(f"{name} ended: {log}" for name, log in zip(ended, logs, strict=True))

    async def wait_http(self, url: str) -> None:
        """Wait until a URL answers."""
        try:
            async with asyncio.timeout(READY_SECONDS):
                await self._poll(url)
        except TimeoutError:
            raise TimeoutError(f"{url} gave no answer in time; {self._ended()}") from None

    async def _poll(self, url: str) -> None:
        while True:
            try:
                async with self._session.get(url):
                    return
            except aiohttp.ClientError:
                await asyncio.sleep(POLL_SECONDS)


def free_port(host: str) -> int:
    """Return a port that nothing listens on, outside the range of outgoing connections.

    The kernel gives ports of that range to outgoing connections at any time, also between this
    look and the start of the process that is to listen.
    """
    while True:
        port = _PORTS.randrange(*LISTENING_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port


def _header(keyword: str) -> str:
    return "Bamboo-" + "-".join(word.capitalize() for word in keyword.split("_"))


async def _kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()


async def _end(process: asyncio.subprocess.Process) -> None:
    """Ask a process to stop, and kill it when it does not."""
    if process.returncode is not None:
        return
    process.send_signal(signal.SIGCONT)
    process.terminate()
    try:
        await asyncio.wait_for(process.wait(), STOP_SECONDS)
    except TimeoutError:
        await _kill(process)
