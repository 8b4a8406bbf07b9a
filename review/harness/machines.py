"""Machines of a small deployment: a node process each, with a backend beside it."""

import asyncio
import contextlib
import hashlib
import json
import os
import random
import signal
import socket
import time
from pathlib import Path

from harness.http import Answer, ClientConnections, Server

ROOT = Path(__file__).resolve().parents[2]
NODE_COMMAND = ("python3", "-m", "bamboojunction.management.commands.mesh")
BEAT_SECONDS = 1.5
BEAT_TIMEOUT_SECONDS = 1.0
PROBE_SECONDS = 1.0
RESTART_SECONDS = 0.5
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "back_slack_ms": 250,
    "max_skew_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 48,
    "recover_s": 15,
}
CONTACT_SECONDS = BOUNDS["contact_ms"] / 1000
DRAIN_SECONDS = BOUNDS["drain_ms"] / 1000
HOST = "hulo84.example"
PORTS = (20_000, 30_000)
_taken = set()


def free_port(host):
    """Return a port that is free on a loopback address and was not returned before.

    It lies below the ports that the system gives to outgoing connections, so that it is still free
    when a process that uses it starts again.
    """
    while True:
        address = (host, random.randrange(*PORTS))
        if address in _taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(address)
            except OSError:
                continue
        _taken.add(address)
        return address[1]


def stamp(request_id, body):
    """Return the signature that a backend puts on its answer."""
    return f"{request_id}.{hashlib.sha256(body).hexdigest()[:12]}"


class Record:
    """The record of what was sent, answered and run, with times since the start."""

    def __init__(self, path):
        self._path = path
        self._started = time.monotonic()
        self.lines = []

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def add(self, event, **values):
        """Add a line with an event and its values."""
        text = " ".join(f"{name}={value}" for name, value in values.items())
        self.lines.append(f"{self.now():8.3f} {event} {text}")

    def write(self):
        """Write the lines to the file."""
        self._path.write_text("\n".join(self.lines) + "\n")


class Backend:
    """A backend of a service, which reports to the node on its machine.

    ``behave`` is awaited when a request begins to run; it may crash the backend, reset the
    connection or just take time. It returns whether the request is answered.
    """

    def __init__(self, service, host, slots, record, work_seconds=0.05):
        self.service = service
        self.slots = slots
        self.record = record
        self.work_seconds = work_seconds
        self.state = "ready"
        self.is_up = False
        self.runs = []
        self.behave = self._work
        self.control = None
        self.started_count = 0
        self.server = Server(self._handle, host, free_port(host))
        self._running = 0
        self._beats = None
        self._begin()

    @property
    def address(self):
        """Return the address at which the backend listens."""
        return f"{self.server.host}:{self.server.port}"

    def _begin(self):
        self.started_count += 1
        self.id = f"i-{self.service}-{self.server.port}-{self.started_count}"
        self.state = "ready"
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.running_ids = set()

    async def start(self):
        """Listen and serve."""
        await self.server.start()
        self.is_up = True

    def start_beats(self, control_address):
        """Start the heartbeats to the node of the machine."""
        self.control = ClientConnections(control_address)
        self._beats = asyncio.ensure_future(self._send_beats())

    async def crash(self, back_after):
        """End at once, and start again under a new id after some seconds."""
        self.record.add("crash", backend=self.id)
        self.is_up = False
        self.server.stop()
        await asyncio.sleep(back_after)
        self._begin()
        await self.start()
        self.record.add("back", backend=self.id)
        await self.beat()

    def next_beat(self):
        """Return the content of the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "lac",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def report(self, method, content=None):
        """Send a report to the node; return whether it was acknowledged in time."""
        body = json.dumps(content).encode() if content is not None else b""
        answer = await self.control.request(
            method,
            f"/instances/{self.id}",
            {"Host": "control", "Content-Type": "application/json"},
            body,
            BEAT_TIMEOUT_SECONDS,
            fresh=True,
        )
        is_acknowledged = isinstance(answer, Answer) and 200 <= answer.status < 300
        shown = answer.status if isinstance(answer, Answer) else answer
        details = (
            {}
            if content is None
            else {
                "state": content["state"],
                "sequence": content["sequence"],
                "born": content["born"],
            }
        )
        self.record.add("report", method=method, backend=self.id, **details, answer=shown)
        return is_acknowledged

    async def beat(self):
        """Send the next heartbeat; return whether it was acknowledged."""
        return await self.report("PUT", self.next_beat())

    def stop_beats(self):
        """Send no further heartbeat."""
        if self._beats is not None:
            self._beats.cancel()

    async def _send_beats(self):
        while True:
            if self.is_up:
                await self.beat()
            await asyncio.sleep(BEAT_SECONDS)

    async def _work(self, request, connection):
        await asyncio.sleep(self.work_seconds)
        return True

    async def _handle(self, connection, request):
        request_id = request.headers.get("bamboojunction-request-id", "")
        echo = {"Bamboojunction-Request-Id": request_id}
        if not request_id:
            connection.answer(400, {"Bamboojunction-Not-Executed": "1"})
            return
        expected = request.headers.get("bamboojunction-expect-instance", self.id)
        if expected != self.id:
            connection.answer(421, {**echo, "Bamboojunction-Instance-Id": self.id})
            return
        if self._running >= self.slots:
            connection.answer(503, {**echo, "Bamboojunction-Not-Executed": "1"})
            return
        self._running += 1
        run = {
            "id": request_id,
            "at": self.record.now(),
            "backend": self.id,
            "method": request.method,
            "target": request.target,
            "body": request.body,
            "deadline_ms": request.headers.get("bamboojunction-deadline-ms"),
        }
        self.runs.append(run)
        self.record.add(
            "run",
            id=request_id,
            backend=self.id,
            target=request.target,
            deadline_ms=run["deadline_ms"],
        )
        try:
            if not await self.behave(request, connection):
                return
        finally:
            self._running -= 1
        body = f"{request_id} {request.target} ".encode() * 10
        load = f"{self._running},0,{self.slots}"
        connection.answer(
            200,
            {
                **echo,
                "Bamboojunction-Server-Stamp": stamp(request_id, body),
                "Bamboojunction-Server-Load": load,
                "Keep-Alive": "timeout=10",
            },
            body,
        )


class Machine:
    """A machine: the node process, restarted if it ends, and the backend beside it."""

    def __init__(self, name, zone, host, backend, store_address, folder, record):
        self.name = name
        self.backend = backend
        self.record = record
        self.is_ready = False
        # Since when the node process has run without a kill or a signal, None while it is down.
        self.undisturbed_since = None
        self._misses = 0
        self._process = None
        self._watch = None
        self._probe = None
        self._folder = folder
        ports = {name: free_port(host) for name in ("inbound", "outbound", "ready", "control")}
        self.listen = {name: f"{host}:{port}" for name, port in ports.items()}
        self._metrics_port = free_port(host)
        link_port = free_port(host)
        self.clients = ClientConnections(self.listen["outbound"])
        self._ready = ClientConnections(self.listen["ready"])
        settings = {
            "self": {
                "node": name,
                "role": "node",
                "machine_class": "sidecar",
                "serves": ["sidecar"],
                "ip": host,
                "zone": zone,
                "region": "nord",
                "in_tolerance": False,
                "bootstrap": True,
                "data_dir": None,
                "limits": {
                    "cpu_share": 0.86,
                    "cores": 2,
                    "memory_mb": 300,
                    "max_fds": 4100,
                    "link_mbps": 1000.0,
                    "disk_mb": 0,
                },
                "app_addr": backend.address,
                "service": backend.service,
            },
            "network": {
                "listen": self.listen,
                "port_range": [link_port, link_port + 15],
                "seeds": [],
                "zones": {"lac": "nord", "sakiet": "nord", "charguia": "nord"},
            },
            "provider": {
                "discovery": "static",
                "entry": "static",
                "beat_ms": int(BEAT_SECONDS * 1000),
                "provider": {
                    "address": store_address,
                    "form": "objects",
                    "writes_per_s": 400,
                    "reads_per_s": 2000,
                    "history_s": 20,
                    "value_bytes": 1048576,
                    "ttl_min_ms": 1000,
                },
            },
            "terms": {
                "contracts": [
                    "base",
                    "drain",
                    "config",
                    "cost",
                    "retry",
                    "recover",
                    "pressure",
                    "platform",
                ],
                "tolerate": {"machines": 1, "zones": 1, "regions": 0},
                "bounds": BOUNDS,
            },
        }
        self.settings_path = folder / f"{name}.yaml"
        self.settings_path.write_text(json.dumps(settings))

    async def start(self):
        """Start the node, the probes of its readiness and the heartbeats of the backend."""
        await self._start_process()
        self._probe = asyncio.ensure_future(self._probe_ready())
        self.backend.start_beats(self.listen["control"])

    def is_in_touch(self):
        """Return whether the process has run undisturbed for the whole contact time."""
        since = self.undisturbed_since
        return since is not None and self.record.now() - since >= CONTACT_SECONDS

    async def _start_process(self):
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BAMBOOJUNCTION_NODE_FILE": str(self.settings_path),
            "BAMBOO_METRICS_PORT": str(self._metrics_port),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *NODE_COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.undisturbed_since = self.record.now()
        self.record.add("node-start", machine=self.name)
        self._watch = asyncio.ensure_future(self._restart(self._process))

    async def _restart(self, process):
        status = await process.wait()
        self.undisturbed_since = None
        self.record.add("node-end", machine=self.name, status=status)
        await asyncio.sleep(RESTART_SECONDS)
        await self._start_process()

    def memory_kb(self):
        """Return the resident memory of the node process, 0 while there is none."""
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0
        line = next((line for line in status.splitlines() if line.startswith("VmRSS:")), "")
        return int(line.split()[1]) if line else 0

    def send_signal(self, number):
        """Send a signal to the node process."""
        self.record.add("signal", machine=self.name, signal=signal.Signals(number).name)
        self.undisturbed_since = None
        self._process.send_signal(number)

    async def _probe_ready(self):
        while True:
            answer = await self._ready.request("GET", "/readyz", {"Host": "ready"}, b"", 1.0)
            if isinstance(answer, Answer) and answer.status == 200:
                self._misses = 0
                if not self.is_ready:
                    self.record.add("ready", machine=self.name)
                self.is_ready = True
            else:
                self._misses += 1
                if self._misses >= 2 and self.is_ready:
                    self.is_ready = False
                    self.record.add("not-ready", machine=self.name)
            await asyncio.sleep(PROBE_SECONDS)

    def read_log(self):
        """Return what the node process has written so far."""
        return (self._folder / f"{self.name}.log").read_text()

    async def close(self):
        """Kill the node, and stop the backend and all tasks."""
        self.backend.stop_beats()
        for task in (self._watch, self._probe):
            if task is not None:
                task.cancel()
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            with contextlib.suppress(ProcessLookupError):
                await self._process.wait()
        self.backend.server.stop()
