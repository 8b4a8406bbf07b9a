"""The machines of a soak test: a node process each, with an upstream in the test process."""

import asyncio
import contextlib
import json
import os
import resource
import signal
from pathlib import Path

from bamboo_bench.soak import node_files
from bamboo_bench.soak.invariants import InvariantChecker
from bamboo_bench.soak.invariants.timeline import Disturbance, Reload, Stop
from bamboo_bench.soak.node_files import DESCRIPTORS_MAX, GRACE_SECONDS, MEMORY_MB
from bamboo_bench.soak.upstreams import Upstream
from bamboo_standins.fault_proxy import FaultProxy, ProxyFaults
from bamboo_standins.process_fleet import free_port

STOP_TIMEOUT_SECONDS = GRACE_SECONDS + 2.0
RESTART_DELAY_SECONDS = 0.2
# An address may be used again by another service this long after its upstream has ended.
REUSE_AFTER_SECONDS = 2.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


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
        upstream.runs.machine = name
        self.caller_address = ""
        self.is_down = False
        self.memory_peak_bytes = 0
        self.descriptors_peak = 0
        self.ended_count = 0
        self.started_count = 0
        self._checker = checker
        self._timeline = checker.timeline
        self._timeline.add_machine(name, upstream.service)
        self._path_disturbance: Disturbance | None = None
        self._observed_at = 0.0
        self._loop = asyncio.get_running_loop()
        self._data_centre = data_centre
        self._directory = directory
        self._root = checkout or node_files.ROOT
        self._process: asyncio.subprocess.Process | None = None
        self._watch_task: asyncio.Task | None = None

    async def start(self, store_address: str) -> None:
        """Start the upstream, the proxies and the node."""
        host = self.upstream.host
        self.to_upstream = FaultProxy(f"{host}:0", await self.upstream.start())
        self.upstream.proxy = self.to_upstream
        self.to_store = FaultProxy(f"{host}:0", store_address)
        upstream_port = await self.to_upstream.start()
        store_port = await self.to_store.start()
        self.settings_path = self._directory / f"{self.name}.yaml"
        self._settings = node_files.settings(
            self.name,
            self.upstream.service,
            self._data_centre,
            f"{host}:{upstream_port}",
            f"{host}:{store_port}",
        )
        listen = self._settings["network"]["listen"]
        self.caller_address = self.upstream.runs.caller_address = listen["outbound"]
        self.upstream.report_address = listen["control"]
        self.upstream.data_centre = self._data_centre
        self._metrics_port = free_port(host)
        self.settings_path.write_text(json.dumps(self._settings))
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
                *node_files.command(self._root),
                stdout=log,
                stderr=log,
                # The interpreter looks for modules in its working directory first.
                cwd=self._root,
                env=node_files.environment(self._root, self.settings_path, self._metrics_port),
            )
        limits = (DESCRIPTORS_MAX, DESCRIPTORS_MAX)
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, limits)
        self.started_count += 1
        self.is_down = False
        self._checker.lives.record_start(self.name, self._loop.time())
        self._watch_task = asyncio.create_task(self._restart_on_exit(self._process))

    async def _restart_on_exit(self, process: asyncio.subprocess.Process) -> None:
        """Restart the node's process when it exits unexpectedly, as the platform does."""
        status = await process.wait()
        if not self.is_down:
            self.ended_count += 1
            self._checker.record_exit(self.name, status)
            self._checker.lives.record_end(self.name, self._loop.time())
            await self.start_node()

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the node's process unless it has exited."""
        if self._process.returncode is not None:
            return
        if signal_number is signal.SIGHUP:
            self._timeline.planned_work.append(Reload(self.name, self._loop.time()))
        self._process.send_signal(signal_number)

    async def pause_node(self, seconds: float) -> None:
        """Suspend the node's process for a time in seconds, like a machine that stalls."""
        disturbance = self._timeline.begin(self.name, self._loop.time())
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send_signal(signal.SIGCONT)
        disturbance.ended_at = self._loop.time()

    def observe_path(self) -> None:
        """Record whether the paths to the upstream and to the store are disturbed.

        A disturbance is recorded from the previous observation on.
        """
        now = self._loop.time()
        is_disturbed = any(
            proxy.faults != ProxyFaults() for proxy in (self.to_upstream, self.to_store)
        )
        if is_disturbed and self._path_disturbance is None:
            self._path_disturbance = self._timeline.begin(self.name, self._observed_at)
        elif not is_disturbed and self._path_disturbance is not None:
            self._path_disturbance.ended_at = now
            self._path_disturbance = None
        self._observed_at = now

    async def terminate_node(self, signal_number: signal.Signals) -> None:
        """Terminate the node's process with a signal; kill it if it does not exit in time."""
        self.is_down = True
        self._checker.lives.record_end(self.name, self._loop.time())
        if signal_number is signal.SIGTERM:
            self._timeline.planned_work.append(Stop(self.name, self._loop.time()))
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal_number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                await self._process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()

    def check_memory(self) -> None:
        """Check the resident memory of the node's process, and kill it if it is over its limit."""
        try:
            descriptors = len(os.listdir(f"/proc/{self.process_id}/fd"))
            pages = int(Path(f"/proc/{self.process_id}/statm").read_text().split()[1])
        except (OSError, IndexError):
            # The process has just ended.
            return
        used_bytes = pages * PAGE_BYTES
        self.memory_peak_bytes = max(self.memory_peak_bytes, used_bytes)
        self.descriptors_peak = max(self.descriptors_peak, descriptors)
        self._checker.check_memory(self.name, used_bytes, MEMORY_MB * 1_000_000)
        if used_bytes > MEMORY_MB * 1_000_000:
            self.send_signal(signal.SIGKILL)

    async def restart_node(self, signal_number: signal.Signals) -> None:
        """Terminate the node's process and start it again."""
        if self.is_down:
            return
        is_planned = signal_number is signal.SIGTERM
        disturbance = self._timeline.begin(self.name, self._loop.time(), is_planned)
        await self.terminate_node(signal_number)
        self._write_settings()
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        await self.start_node()
        disturbance.ended_at = self._loop.time()

    def _write_settings(self) -> None:
        """Write the settings of all starts but the first of the whole system."""
        self._settings["self"]["bootstrap"] = False
        self.settings_path.write_text(json.dumps(self._settings))

    async def replace_upstream(self, service: str, drain_seconds: float) -> None:
        """End the upstream, then the node; start both at their addresses for another service."""
        if self.is_down:
            return
        # No other fault may start the node meanwhile.
        self.is_down = True
        disturbance = self._timeline.begin(self.name, self._loop.time())
        await self.upstream.end(drain_seconds)
        await self.terminate_node(signal.SIGTERM)
        await asyncio.sleep(REUSE_AFTER_SECONDS)
        self._settings["self"]["service"] = service
        self._timeline.add_machine(self.name, service)
        self._write_settings()
        await self.upstream.begin(service)
        await self.start_node()
        disturbance.ended_at = self._loop.time()

    async def close(self) -> None:
        """Kill the node and close the upstream and the proxies."""
        await self.terminate_node(signal.SIGKILL)
        await self.upstream.close()
        await self.to_upstream.stop()
        await self.to_store.stop()
