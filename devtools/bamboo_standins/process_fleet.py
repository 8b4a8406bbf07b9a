"""Test fleet: a platform stand-in, upstreams and nodes as processes on loopback addresses.

Instance N of data centre D has the address 127.D.0.N, so that a fault proxy can tell from the
source address which data centre a connection comes from.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from bamboo_standins.fault_proxy import FaultProxy, ProxyFaults
from bamboojunction.core.table.csvfile import parse_table
from bamboojunction.core.table.stored_object import Edit, build_object_value
from bamboojunction.platform.http_client import HttpPlatformClient

READY_TIMEOUT_SECONDS = 30.0
# The length of the log excerpt that an error message quotes for an exited process.
LOG_TAIL_CHARACTERS = 600
POLL_INTERVAL_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 30.0
FIRST_DATA_CENTRE_OCTET = 10
LISTENING_PORT_RANGE = (10_000, 32_000)
STATE_TIMEOUT = aiohttp.ClientTimeout(total=5.0)
LINK_SECRET = "fleet-secret"

_PORT_RANDOM = random.SystemRandom()
# The ports that this process has handed out lately: they may not be listened on yet.
_RECENT_PORTS: deque[int] = deque(maxlen=1_000)


@dataclass(slots=True, frozen=True)
class InstancePlan:
    """The parameters of one instance: its node and its upstream.

    ``seconds``, ``speed`` and ``calls`` are options of the upstream stand-in.
    """

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
    """The processes and addresses of one instance."""

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
        """Return the address at which the node accepts calls."""
        return f"{self.host}:{self.caller_port}"

    @property
    def upstream_address(self) -> str:
        """Return the address at which the upstream listens."""
        return f"{self.host}:{self.upstream_port}"


@dataclass(slots=True, frozen=True)
class Answer:
    """The response to a call, as the caller received it."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """Return the value of the outcome header, or an empty string."""
        return self.headers.get("Bamboo-Outcome", "")

    @property
    def reason(self) -> str:
        """Return the value of the reason header, or an empty string."""
        return self.headers.get("Bamboo-Reason", "")


@dataclass(slots=True)
class ProcessFleet:
    """The processes of a deployment; settings, logs and the ledger are written to ``directory``.

    If ``proxied`` is set, nodes connect to each other through fault proxies in this process.
    ``platform_by_instance`` overrides the platform's address for some nodes, for example with that
    of a proxy.
    """

    directory: Path
    plans: list[InstancePlan]
    table_text: str
    extra_settings: str = ""
    proxied: bool = True
    running_by_instance: dict[str, RunningInstance] = field(default_factory=dict)
    platform_port: int = 0
    platform_by_instance: dict[str, str] = field(default_factory=dict)
    _platform: asyncio.subprocess.Process | None = None
    _session: aiohttp.ClientSession | None = None
    _extra_processes: list[asyncio.subprocess.Process] = field(default_factory=list)
    _process_by_log_name: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)

    async def start(self) -> None:
        """Start all processes and wait until each node has the table and sees every instance."""
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.platform_port = self.platform_port or free_port("127.0.0.1")
        await self.start_platform()
        await self.write_table(self.table_text, 0)
        for plan in self.plans:
            self.running_by_instance[plan.instance] = await self._allocate_instance(plan)
        await asyncio.gather(*(self.start_upstream(name) for name in self.running_by_instance))
        await asyncio.gather(*(self.start_node(name) for name in self.running_by_instance))
        await asyncio.gather(
            *(self.wait_until_converged(name) for name in self.running_by_instance)
        )

    async def stop(self) -> None:
        """Stop all processes."""
        processes = [self._platform, *self._extra_processes]
        for running in self.running_by_instance.values():
            processes += [running.node, running.upstream]
            await running.proxy.stop()
        await asyncio.gather(*(_terminate(process) for process in processes if process))
        if self._session is not None:
            await self._session.close()

    @property
    def ledger_path(self) -> Path:
        """Return the path of the ledger that all upstreams append their effects to."""
        return self.directory / "ledger"

    def effects(self) -> list[dict]:
        """Return the effects that the upstreams recorded."""
        if not self.ledger_path.exists():
            return []
        return [json.loads(line) for line in self.ledger_path.read_text().splitlines()]

    async def start_platform(self) -> None:
        """Start the platform stand-in with an empty store."""
        address = f"127.0.0.1:{self.platform_port}"
        self._platform = await self.spawn(
            "platform", "bamboo_standins.platform", ["--address", address]
        )
        await self.wait_http(f"http://{address}/_counts")

    async def set_platform_faults(self, **faults) -> None:
        """Replace the faults of the platform stand-in; without arguments, clear them."""
        url = f"http://127.0.0.1:{self.platform_port}/_faults"
        async with self._session.post(url, json=faults) as response:
            response.raise_for_status()

    async def write_table(self, text: str, expected_version: int) -> int:
        """Write the table if its version is ``expected_version`` and return its new version."""
        table = parse_table(text, expected_version, "").unwrap()
        edit = Edit(f"edit-{expected_version}", "fleet", "")
        value = build_object_value(table, edit, expected_version, {}, [])
        async with self._platform_client() as client:
            return (await client.put("tables", "table", value, expected_version)).unwrap().version

    async def table_version(self) -> int:
        """Return the version of the table on the platform."""
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
        running = self.running_by_instance[name]
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

    async def set_upstream_faults(self, name: str, **faults) -> None:
        """Replace the faults of an upstream stand-in; without arguments, clear them."""
        url = f"http://{self.running_by_instance[name].upstream_address}/_faults"
        async with self._session.post(url, json=faults) as response:
            response.raise_for_status()

    async def start_node(self, name: str) -> None:
        """Start the node of an instance."""
        running = self.running_by_instance[name]
        path = self.directory / f"{name}.ini"
        path.write_text(self._settings_text(running))
        running.is_stopping = False
        running.node = await self.spawn(
            f"{name}-node", "bamboojunction.management.commands.node", [str(path)]
        )

    async def wait_state(
        self, name: str, condition: Callable[[dict], bool], seconds: float = READY_TIMEOUT_SECONDS
    ) -> dict:
        """Poll a node's state page until a condition holds, and return the state."""
        try:
            async with asyncio.timeout(seconds):
                while True:
                    state = await self.state(name)
                    if state is not None and condition(state):
                        return state
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
        except TimeoutError:
            raise TimeoutError(
                f"{name} did not reach the expected state in time; {self._describe_failures()}"
            ) from None

    async def state(self, name: str) -> dict | None:
        """Return a node's state page, or None if the node does not respond."""
        url = f"http://{self.running_by_instance[name].caller_address}/_bamboo/state"
        try:
            async with self._session.get(url, timeout=STATE_TIMEOUT) as response:
                return await response.json()
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def call(
        self, name: str, kind: str, *, body: bytes = b"", method: str = "POST", **headers: str
    ) -> Answer:
        """Send a call to a node; keyword ``deadline_ms`` sets the header ``Bamboo-Deadline-Ms``."""
        sent_headers = {"Bamboo-Kind": kind}
        sent_headers |= {_header_name(key): str(value) for key, value in headers.items()}
        url = f"http://{self.running_by_instance[name].caller_address}/work"
        async with self._session.request(method, url, data=body, headers=sent_headers) as response:
            return Answer(response.status, response.headers, await response.read())

    async def home_key_prefix(self, name: str) -> str:
        """Return the key prefix that names a node as the home of a key."""
        url = f"http://{self.running_by_instance[name].caller_address}/_bamboo/home"
        async with self._session.get(url) as response:
            return await response.text()

    def cut_data_centre(self, data_centre: str) -> None:
        """Cut the links between a data centre and all others, in both directions."""
        for target in self.running_by_instance.values():
            for source in self.running_by_instance.values():
                data_centres = {target.plan.data_centre, source.plan.data_centre}
                if len(data_centres) == 2 and data_centre in data_centres:
                    target.proxy.set_faults(ProxyFaults(cut=True), source.host)

    def clear_link_faults(self) -> None:
        """Clear all faults of the links."""
        for running in self.running_by_instance.values():
            running.proxy.clear_faults()

    async def restore(self) -> None:
        """Clear all faults, restart exited processes and wait until nodes see every instance."""
        self.clear_link_faults()
        await self.set_platform_faults()
        for name, running in self.running_by_instance.items():
            if running.upstream.returncode is not None:
                await self.start_upstream(name)
            await self.set_upstream_faults(name)
            if running.node.returncode is None:
                self.signal_node(name, signal.SIGCONT)
            if running.is_stopping:
                await asyncio.wait_for(running.node.wait(), STOP_TIMEOUT_SECONDS)
            if running.node.returncode is not None:
                await self.start_node(name)
        await asyncio.gather(
            *(self.wait_until_converged(name) for name in self.running_by_instance)
        )

    async def wait_until_converged(self, name: str) -> None:
        """Wait until a node has a table and sees every instance as serving."""

        def is_whole(state: dict) -> bool:
            serving = {
                entry["instance"] for entry in state["upstreams"] if entry["state"] == "serving"
            }
            return state["table_version"] > 0 and serving == set(self.running_by_instance)

        await self.wait_state(name, is_whole)

    def signal_node(self, name: str, signal_number: int) -> None:
        """Send a signal to a node's process."""
        running = self.running_by_instance[name]
        running.is_stopping |= signal_number == signal.SIGTERM
        running.node.send_signal(signal_number)

    async def kill_node(self, name: str) -> None:
        """Kill a node's process and wait until it exits."""
        await _kill(self.running_by_instance[name].node)

    async def kill_upstream(self, name: str) -> None:
        """Kill an upstream's process and wait until it exits."""
        await _kill(self.running_by_instance[name].upstream)

    async def stop_node(self, name: str) -> int:
        """Stop a node gracefully and return its exit code."""
        self.signal_node(name, signal.SIGTERM)
        return await asyncio.wait_for(
            self.running_by_instance[name].node.wait(), STOP_TIMEOUT_SECONDS
        )

    async def _allocate_instance(self, plan: InstancePlan) -> RunningInstance:
        data_centres = sorted({each.data_centre for each in self.plans})
        data_centre_instances = [
            each.instance for each in self.plans if each.data_centre == plan.data_centre
        ]
        second_octet = FIRST_DATA_CENTRE_OCTET + data_centres.index(plan.data_centre)
        host = f"127.{second_octet}.0.{data_centre_instances.index(plan.instance) + 1}"
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
link_advertised_address = {self._link_address(running)}
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
        """Return the link address of the first other instance in each data centre."""
        others = [each for each in self.running_by_instance.values() if each is not running]
        first_by_data_centre: dict[str, RunningInstance] = {}
        for each in others:
            first_by_data_centre.setdefault(each.plan.data_centre, each)
        return " ".join(self._link_address(each) for each in first_by_data_centre.values())

    def _link_address(self, running: RunningInstance) -> str:
        port = running.proxy_port if self.proxied else running.link_port
        return f"{running.host}:{port}"

    async def spawn_extra(self, log_name: str, module: str, arguments: list[str]) -> None:
        """Start an additional process, which is stopped with the fleet."""
        self._extra_processes.append(await self.spawn(log_name, module, arguments))

    async def spawn(self, log_name: str, module: str, arguments: list[str]):
        """Run a Python module as a process whose output is appended to a log file."""
        with (self.directory / f"{log_name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", module, *arguments),
                stdout=log,
                stderr=log,
                env={**os.environ, "UV_USE_IO_URING": "0"},
            )
        self._process_by_log_name[log_name] = process
        return process

    def _describe_failures(self) -> str:
        """Describe the processes that failed, each with the end of its log."""
        failed_names = [
            name for name, process in self._process_by_log_name.items() if process.returncode
        ]
        logs = (
            (self.directory / f"{name}.log").read_text()[-LOG_TAIL_CHARACTERS:]
            for name in failed_names
        )
        return "; ".join(
            f"{name} ended: {log}" for name, log in zip(failed_names, logs, strict=True)
        )

    async def wait_http(self, url: str) -> None:
        """Wait until a URL responds, with any status."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                await self._poll(url)
        except TimeoutError:
            raise TimeoutError(
                f"{url} did not respond in time; {self._describe_failures()}"
            ) from None

    async def _poll(self, url: str) -> None:
        while True:
            try:
                async with self._session.get(url):
                    return
            except aiohttp.ClientError:
                await asyncio.sleep(POLL_INTERVAL_SECONDS)


def free_port(host: str) -> int:
    """Return an unused port below the kernel's range of ephemeral ports, a new one at each call.

    An ephemeral port could be assigned to an outgoing connection between this check and the start
    of the process that will listen on the port.
    """
    while True:
        port = _PORT_RANDOM.randrange(*LISTENING_PORT_RANGE)
        if port in _RECENT_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        _RECENT_PORTS.append(port)
        return port


def _header_name(keyword: str) -> str:
    return "Bamboo-" + "-".join(word.capitalize() for word in keyword.split("_"))


async def _kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()


async def _terminate(process: asyncio.subprocess.Process) -> None:
    """Terminate a process, and kill it if it does not exit in time."""
    if process.returncode is not None:
        return
    process.send_signal(signal.SIGCONT)
    process.terminate()
    try:
        await asyncio.wait_for(process.wait(), STOP_TIMEOUT_SECONDS)
    except TimeoutError:
        await _kill(process)
