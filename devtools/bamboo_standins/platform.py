"""HTTP server that stands in for the platform's object API and injects faults on request.

Run it with ``python -m bamboo_standins.platform --address 127.0.0.1:PORT``.
"""

import argparse
import asyncio
from collections import Counter
from dataclasses import asdict, dataclass

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from bamboo_standins.object_store import ObjectStore
from bamboojunction.platform.client import (
    ObjectList,
    PlatformError,
    PlatformErrorKind,
    PlatformObject,
    WatchBatch,
)

WATCH_WAIT_MAX_MS = 30_000
PAGE_OBJECTS_MAX = 500
STATUS_BY_ERROR_KIND = {
    PlatformErrorKind.CONFLICT: 409,
    PlatformErrorKind.NOT_FOUND: 404,
    PlatformErrorKind.COMPACTED: 410,
}


@dataclass(slots=True, kw_only=True)
class StoreFaults:
    """The faults in force until the next request to ``/_faults``.

    ``down`` resets the connection of every call. ``hang`` leaves calls without a response.
    ``delay_seconds`` delays each call. ``stale_reads`` serves reads and watches from a snapshot
    taken when the fault was set, and ``lagging_replicas`` only those that may be stale.
    ``lose_answers`` is the number of writes still to come that take
    effect but get no response. ``refuse_status`` is the HTTP status to fail every call with
    (0: none).
    """

    down: bool = False
    hang: bool = False
    delay_seconds: float = 0.0
    stale_reads: bool = False
    lagging_replicas: bool = False
    lose_answers: int = 0
    refuse_status: int = 0


@dataclass(slots=True, kw_only=True)
class FaultRequest(StoreFaults):
    """The body of ``POST /_faults``.

    ``compact`` and ``skip_revisions`` change the store once and are not kept as faults.
    """

    compact: bool = False
    skip_revisions: int = 0


class PlatformStandIn:
    """The platform's object API, served from an in-memory store."""

    def __init__(self):
        self.store = ObjectStore()
        self.faults = StoreFaults()
        self.call_counts: Counter[str] = Counter()
        self._stale_snapshot: ObjectStore | None = None
        self._change_condition = asyncio.Condition()

    async def set_faults(self, faults: StoreFaults) -> None:
        """Replace the faults and wake pending watches."""
        self.faults = faults
        is_stale = faults.stale_reads or faults.lagging_replicas
        self._stale_snapshot = self.store.snapshot() if is_stale else None
        await self._wake_watches()

    async def write_unconditionally(self, collection: str, name: str, value: dict) -> None:
        """Write an object as an operator would, regardless of its version and of the faults."""
        existing = self.store.get(collection, name)
        version = existing.ok().version if existing.is_ok() else 0
        self.store.put(collection, name, value, version).unwrap()
        await self._wake_watches()

    def application(self) -> web.Application:
        """Return the web application that serves the API."""
        app = web.Application(client_max_size=2_000_000)
        app.add_routes(
            [
                web.get("/objects/{collection}", self._list_or_watch),
                web.get("/objects/{collection}/{name}", self._get),
                web.post("/objects/{collection}", self._create),
                web.put("/objects/{collection}/{name}", self._put),
                web.delete("/objects/{collection}/{name}", self._delete),
                web.post("/_faults", self._set_faults),
                web.get("/_counts", self._show_counts),
            ]
        )
        return app

    async def _set_faults(self, request: web.Request) -> web.Response:
        fault_request = msgspec.convert(await request.json(), FaultRequest)
        values = asdict(fault_request)
        compact = values.pop("compact")
        self.store.skip_revisions(values.pop("skip_revisions"))
        if compact:
            self.store.compact()
        await self.set_faults(StoreFaults(**values))
        return web.json_response(asdict(self.faults))

    async def _show_counts(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.call_counts))

    async def _list_or_watch(self, request: web.Request) -> web.Response:
        if "watch" in request.query:
            return await self._watch(request)
        await self._apply_call_faults(request, "reads")
        found = self._readable_store(request).list(request.match_info["collection"])
        return _json_response(_list_body(found, request.query.get("after", "")))

    async def _get(self, request: web.Request) -> web.Response:
        await self._apply_call_faults(request, "reads")
        found = self._readable_store(request).get(
            request.match_info["collection"], request.match_info["name"]
        )
        return _result_response(found.map(_object_body))

    async def _create(self, request: web.Request) -> web.Response:
        await self._apply_call_faults(request, "writes")
        body = await request.json()
        return await self._write(request, body["metadata"]["name"], body["spec"], 0)

    async def _put(self, request: web.Request) -> web.Response:
        await self._apply_call_faults(request, "writes")
        body = await request.json()
        name = request.match_info["name"]
        if self.store.get(request.match_info["collection"], name).is_err():
            return web.Response(status=404)
        return await self._write(request, name, body["spec"], body["metadata"]["rev"])

    async def _write(self, request: web.Request, name: str, value, version: int) -> web.Response:
        written = self.store.put(request.match_info["collection"], name, value, version)
        await self._wake_watches()
        self._apply_lost_answer(request)
        return _result_response(written.map(_object_body))

    async def _delete(self, request: web.Request) -> web.Response:
        await self._apply_call_faults(request, "writes")
        deleted = self.store.delete(
            request.match_info["collection"],
            request.match_info["name"],
            int(request.query["rev"]),
        )
        await self._wake_watches()
        self._apply_lost_answer(request)
        return _result_response(deleted)

    async def _watch(self, request: web.Request) -> web.Response:
        await self._apply_call_faults(request, "watches")
        collection = request.match_info["collection"]
        after_revision = int(request.query["watch"])
        wait_seconds = min(int(request.query.get("wait_ms", "0")), WATCH_WAIT_MAX_MS) / 1000
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_seconds
        while True:
            batch = self._readable_store(request).changed_since(collection, after_revision)
            is_ready = batch.is_err() or batch.ok().changed or batch.ok().deleted
            if is_ready or loop.time() >= deadline:
                break
            await self._wait_for_change(deadline - loop.time())
        if self.faults.down:
            self._abort_connection(request)
        return _result_response(batch.map(_events_body))

    async def _wait_for_change(self, seconds: float) -> None:
        async with self._change_condition:
            try:
                async with asyncio.timeout(seconds):
                    await self._change_condition.wait()
            except TimeoutError:
                return

    async def _wake_watches(self) -> None:
        async with self._change_condition:
            self._change_condition.notify_all()

    async def _apply_call_faults(self, request: web.Request, counter: str) -> None:
        self.call_counts[counter] += 1
        if self.faults.down:
            self._abort_connection(request)
        if self.faults.hang:
            await asyncio.Event().wait()
        if self.faults.delay_seconds:
            await asyncio.sleep(self.faults.delay_seconds)
        if self.faults.refuse_status:
            raise _InjectedStatus(self.faults.refuse_status)

    def _apply_lost_answer(self, request: web.Request) -> None:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            self._abort_connection(request)

    def _abort_connection(self, request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()
        raise _ConnectionAborted

    def _readable_store(self, request: web.Request) -> ObjectStore:
        is_stale = self.faults.stale_reads or request.query.get("stale_ok") == "1"
        return (self._stale_snapshot if is_stale else None) or self.store


class _ConnectionAborted(web.HTTPException):
    """Raised to stop handling a request whose connection was already aborted."""

    status_code = 500


class _InjectedStatus(web.HTTPException):
    """Raised to fail a request with the status of the ``refuse_status`` fault."""

    def __init__(self, status: int):
        self.status_code = status
        super().__init__()


def _result_response(result: Result) -> web.Response:
    match result:
        case Ok(value):
            return _json_response(value)
        case Err(error):
            return _error_response(error)


def _object_body(found: PlatformObject) -> dict:
    metadata = {
        "name": found.name,
        "rev": found.version,
        "created": found.version,
        "finalizers": [],
        "deleting": False,
    }
    return {"metadata": metadata, "spec": found.value, "status": None}


def _list_body(found: ObjectList, after: str) -> dict:
    remaining = sorted(
        (item for item in found.objects if item.name > after), key=lambda item: item.name
    )
    items = [_object_body(item) for item in remaining[:PAGE_OBJECTS_MAX]]
    return {
        "items": items,
        "more": len(remaining) > PAGE_OBJECTS_MAX,
        "store_revision": found.revision,
    }


def _events_body(batch: WatchBatch) -> dict:
    changed = [{"object": _object_body(item), "deleted": False} for item in batch.changed]
    deleted = [{"object": {"metadata": {"name": name}}, "deleted": True} for name in batch.deleted]
    return {"events": changed + deleted, "store_revision": batch.revision}


def _json_response(value) -> web.Response:
    return web.Response(body=msgspec.json.encode(value), content_type="application/json")


def _error_response(error: PlatformError) -> web.Response:
    return web.Response(status=STATUS_BY_ERROR_KIND[error.kind], text=error.detail)


def main() -> None:
    """Parse the command line and serve until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:8500", help="ip:port to listen on")
    host, _, port = parser.parse_args().address.rpartition(":")
    asyncio.run(_serve(host, int(port)))


async def _serve(host: str, port: int) -> None:
    runner = web.AppRunner(PlatformStandIn().application(), access_log=None, shutdown_timeout=0.5)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    print(f"platform stand-in is listening on {host}:{port}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    main()
