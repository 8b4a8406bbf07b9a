"""A small deployment with its clients, and the main program of a case."""

import asyncio
import os
import sys
import tempfile
import traceback
from pathlib import Path

from harness.http import Answer
from harness.machines import HOST, Backend, Machine, Record, free_port, stamp
from harness.store import Store

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
READY_SECONDS = 15.0
ZONES = ("lac", "sakiet", "charguia")


class CouldNotRunError(Exception):
    """Raised if the deployment did not come up or the case lacks what it needs."""


class Deployment:
    """Machines in three zones, the store and the clients.

    ``services`` names the service of each machine, ``paths`` are the routes of the configuration.
    """

    def __init__(self, record, folder, network, services, paths, slots=20):
        self.record = record
        self.sent = {}
        self.answers = {}
        self.answered_at = {}
        self.on_kept_connection = set()
        self._number = 0
        store_host = f"127.{network}.0.1"
        self.store = Store(store_host, free_port(store_host))
        self._paths = paths
        self.machines = []
        for number, service in enumerate(services):
            host = f"127.{network}.1.{number + 1}"
            backend = Backend(service, host, slots, record)
            zone = ZONES[number % len(ZONES)]
            self.machines.append(
                Machine(
                    f"sidecar-{zone}-{number + 1}",
                    zone,
                    host,
                    backend,
                    self.store.address,
                    folder,
                    record,
                )
            )

    async def start(self):
        """Start everything and wait until all nodes serve."""
        await self.store.server.start()
        self.configure(7, self._paths)
        await asyncio.gather(*(machine.backend.start() for machine in self.machines))
        await asyncio.gather(*(machine.start() for machine in self.machines))
        deadline = asyncio.get_running_loop().time() + READY_SECONDS
        names = len(self.machines)
        while not all(machine.is_ready for machine in self.machines) or (
            sum(len(self.store.names(kind)) for kind in self._own_kinds()) < names
        ):
            if asyncio.get_running_loop().time() > deadline:
                raise CouldNotRunError("the nodes did not become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(4.0)

    def configure(self, version, paths):
        """Write a version of the configuration with the given routes, as the operator does."""
        self.record.add("configuration", version=version)
        self.store.write(
            "config",
            "main",
            {
                "version": version,
                "services": [
                    {
                        "name": name,
                        "health_path": "/healthz",
                        "max_conns": 532,
                        "protocol": "h1",
                        "tls": False,
                    }
                    for name in sorted({m.backend.service for m in self.machines})
                ],
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 67108864,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
                "vhosts": [{"host": HOST, "paths": paths}],
            },
        )

    def _own_kinds(self):
        return {kind for kind, _ in self.store._objects if kind != "config"}

    async def close(self):
        """End all processes and listeners."""
        await asyncio.gather(*(machine.close() for machine in self.machines))
        self.store.server.stop()

    async def call(
        self, machine, method, target, deadline_seconds, body=b"", label="", request_id=""
    ):
        """Send one client attempt to the node of a machine, and record it and its answer."""
        self._number += 1
        request_id = request_id or f"{self._number:08x}c41d07be"
        self.sent[request_id] = {
            "at": self.record.now(),
            "machine": machine,
            "in_touch": machine.is_in_touch(),
            "method": method,
            "target": target,
            "label": label,
        }
        self.record.add(
            "send", id=request_id, machine=machine.name, method=method, target=target, label=label
        )
        answer = await machine.clients.request(
            method,
            target,
            {
                "Host": HOST,
                "Bamboojunction-Request-Id": request_id,
                "Bamboojunction-Deadline-Ms": int(deadline_seconds * 1000),
            },
            body,
            deadline_seconds,
            on_kept=lambda: self.on_kept_connection.add(request_id),
        )
        shown = answer.status if isinstance(answer, Answer) else answer
        self.answers[request_id] = shown
        self.answered_at[request_id] = self.record.now()
        self.record.add("answer", id=request_id, answer=shown)
        if shown == 200:
            expected = stamp(request_id, answer.body)
            if answer.headers.get("bamboojunction-server-stamp") != expected:
                self.record.add("mixed", id=request_id)
        return shown

    async def load(self, machine, method, target, per_second, deadline_seconds, body=b"", label=""):
        """Send requests at a steady rate while the machine counts as ready, until cancelled."""
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        calls = set()
        try:
            while True:
                next_at += 1 / per_second
                await asyncio.sleep(max(0.0, next_at - loop.time()))
                if machine.is_ready:
                    call = asyncio.ensure_future(
                        self.call(machine, method, target, deadline_seconds, body, label)
                    )
                    calls.add(call)
                    call.add_done_callback(calls.discard)
        finally:
            for call in calls:
                call.cancel()

    def runs(self):
        """Return all runs at all backends, in the order in which they began."""
        return sorted(
            (run for machine in self.machines for run in machine.backend.runs),
            key=lambda run: run["at"],
        )


def run_case(case, network, services, paths, has_trouble, slots=20):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    ``case`` is awaited with the deployment and whether the disruption takes place; it returns
    whether the rule was broken.
    """
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")

    async def play(folder):
        deployment = Deployment(record, folder, network, services, paths, slots)
        try:
            await deployment.start()
            return await case(deployment, has_trouble)
        except CouldNotRunError:
            for machine in deployment.machines:
                last_line = machine.read_log().strip().rpartition("\n")[2]
                record.add("log-end", machine=machine.name, line=last_line)
            raise
        finally:
            await deployment.close()

    status = COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as folder:
            record.add("begin", trouble=int(has_trouble))
            status = BROKEN if asyncio.run(play(Path(folder))) else HELD
    except CouldNotRunError as error:
        record.add("could-not-run", reason=str(error).replace(" ", "-"))
    except Exception:
        traceback.print_exc()
        record.add("could-not-run", reason="error")
    record.add("verdict", status=status)
    record.write()
    print(record.lines[-1].strip())
    for line in record.lines:
        if " verdict " not in line and " result " in line:
            print(line.strip())
    sys.stdout.flush()
    # Client connections of cancelled calls may still be open; they need no orderly end.
    os._exit(status)
