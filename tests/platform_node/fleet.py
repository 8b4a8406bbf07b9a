"""A test fleet in one process: a stand-in store, stand-in upstreams and platform nodes."""

import asyncio
import itertools
import os

import aiohttp
from aiohttp import web

from bamboo_standins.platform import PlatformStandIn
from bamboo_standins.process_fleet import free_port
from bamboojunction.platform.http_client import HttpPlatformClient
from bamboojunction.platform.node_settings import PlatformNodeSettings
from bamboojunction.platform_node.process import PlatformNode

HOST = "h.example"
_host_numbers = itertools.count(1)


def route(name: str, prefix: str, service: str, **changes) -> dict:
    path = {
        "name": name,
        "path_prefix": prefix,
        "kind": "idempotent",
        "timeout_ms": 2000,
        "goal_ms": 500,
        "priority": 1,
        "service": service,
        "attempts": 2,
    }
    return path | changes


def configuration(version: int, *routes: dict) -> dict:
    return {"version": version, "vhosts": [{"host": HOST, "paths": list(routes)}]}


class Upstream:
    """A stand-in upstream that records the requests that it runs."""

    def __init__(self, service: str, instance_id: str):
        self.service = service
        self.instance_id = instance_id
        self.executed: list[str] = []
        self.headers: list = []
        self.status = 200
        # While this is clear, requests are held without a response.
        self.may_respond = asyncio.Event()
        self.may_respond.set()
        self.drops_responses = False
        # While set, all requests are refused as not executed.
        self.is_refusing = False
        self.refused = 0
        # The upstream ends as soon as it runs a request with this path.
        self.crash_path = ""

    async def start(self, host: str) -> str:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, host, 0)
        await self._site.start()
        return f"{host}:{self._runner.addresses[0][1]}"

    async def close(self) -> None:
        await self._runner.cleanup()

    async def _handle(self, request: web.Request) -> web.Response:
        request_id = request.headers["Bamboojunction-Request-Id"]
        headers = {"Bamboojunction-Request-Id": request_id, "Bamboojunction-Server-Stamp": "s"}
        if request.headers["Bamboojunction-Expect-Instance"] != self.instance_id:
            return web.Response(status=421, headers=headers)
        if self.is_refusing:
            self.refused += 1
            return web.Response(status=503, headers=headers | {"Bamboojunction-Not-Executed": "1"})
        self.executed.append(request_id)
        self.headers.append(request.headers.copy())
        if request.path == self.crash_path:
            await self._site.stop()
            request.transport.abort()
        await self.may_respond.wait()
        if self.drops_responses:
            request.transport.abort()
        body = f"{request.method} {request.raw_path} {await request.text()}"
        return web.Response(status=self.status, text=body, headers=headers)


class NodeWithUpstream:
    """A stand-in machine, which runs a node and its upstream."""

    def __init__(self, name: str, service: str, store: str, data_centre: str):
        self.host = f"127.20.0.{next(_host_numbers)}"
        self.upstream = Upstream(service, f"i-{name}")
        self.name = name
        self.store = store
        self.data_centre = data_centre
        self.sequence = itertools.count(1)

    async def start(self) -> None:
        address = await self.upstream.start(self.host)
        self.settings = PlatformNodeSettings(
            instance=self.name,
            service=self.upstream.service,
            data_centre=self.data_centre,
            region="region",
            upstream_address=address,
            caller_address=f"{self.host}:{free_port(self.host)}",
            ready_address=f"{self.host}:{free_port(self.host)}",
            report_address=f"{self.host}:{free_port(self.host)}",
            link_address=f"{self.host}:{free_port(self.host)}",
            store_address=self.store,
            stop_seconds=4.0,
            retry_ratio=0.2,
            retry_window_seconds=10.0,
            retry_slack=1_000_000.0,
            memory_bytes=200_000_000,
        )
        self.log_descriptor = os.open(os.devnull, os.O_WRONLY)
        self.node = PlatformNode(self.settings, self.log_descriptor)
        await self.node.start()

    async def restart_node(self) -> None:
        """End the node at once, and start it again; its upstream keeps running."""
        await self.node.close()
        self.node = PlatformNode(self.settings, self.log_descriptor)
        await self.node.start()

    async def close(self) -> None:
        await self.node.close()
        await self.upstream.close()
        os.close(self.log_descriptor)


class PlatformFleet:
    """A store and several machines."""

    def __init__(self):
        self.platform = PlatformStandIn()
        self.machines: dict[str, NodeWithUpstream] = {}
        self.request_ids = itertools.count(1)

    async def start(self, **services: str) -> None:
        self._runner = web.AppRunner(self.platform.application(), shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        store = f"127.0.0.1:{self._runner.addresses[0][1]}"
        self.client = HttpPlatformClient([store], 2.0)
        self.session = aiohttp.ClientSession()
        self.machines = {
            name: NodeWithUpstream(name, service, store, "lac")
            for name, service in services.items()
        }
        for machine in self.machines.values():
            await machine.start()

    async def close(self) -> None:
        for machine in self.machines.values():
            await machine.close()
        await self.session.close()
        await self.client.close()
        await self._runner.cleanup()

    async def configure(self, value: dict) -> None:
        stored = await self.client.get("config", "main")
        version = stored.ok().version if stored.is_ok() else 0
        (await self.client.put("config", "main", value, version)).unwrap()
        await self.wait_until(
            lambda: all(
                machine.node.current_routes.routes.version >= value["version"]
                for machine in self.machines.values()
            )
        )

    async def send_heartbeat(self, name: str, state: str = "ready") -> int:
        machine = self.machines[name]
        url = f"http://{machine.settings.report_address}/instances/{machine.upstream.instance_id}"
        body = {
            "service": machine.upstream.service,
            "address": machine.settings.upstream_address,
            "zone": "lac",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "sequence": next(machine.sequence),
            "born": 1_700_000_000_000,
        }
        async with self.session.put(url, json=body) as response:
            return response.status

    async def send_departure(self, name: str) -> int:
        machine = self.machines[name]
        url = f"http://{machine.settings.report_address}/instances/{machine.upstream.instance_id}"
        async with self.session.delete(url) as response:
            return response.status

    async def join(self) -> None:
        """Send a heartbeat from each upstream, and wait until every node knows all instances."""
        for name in self.machines:
            await self.send_heartbeat(name)
        await self.wait_until(
            lambda: all(
                len(machine.node.view.by_instance) == len(self.machines)
                for machine in self.machines.values()
            )
        )

    async def request(self, name: str, path: str, method: str = "GET", **options):
        """Send a request to a node, and return the status, the headers and the text."""
        machine = self.machines[name]
        headers = {
            "Host": HOST,
            "Bamboojunction-Request-Id": f"id-{next(self.request_ids)}",
            "Bamboojunction-Deadline-Ms": "1500",
        } | options.pop("headers", {})
        url = f"http://{machine.settings.caller_address}{path}"
        async with self.session.request(method, url, headers=headers, **options) as response:
            return response.status, response.headers, await response.text()

    async def readiness_status(self, name: str) -> int:
        url = f"http://{self.machines[name].settings.ready_address}/readyz"
        async with self.session.get(url) as response:
            return response.status

    async def wait_until(self, condition) -> None:
        async with asyncio.timeout(10.0):
            while not condition():
                await asyncio.sleep(0.01)
