"""A stand-in for the platform's store: objects with one revision counter, lists and watches."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from harness.http import Server

ITEMS_MAX = 500
WAIT_SECONDS_MAX = 30.0


class Store:
    """The objects, by kind and name, and the changes that watches read."""

    def __init__(self, host, port):
        self.address = f"{host}:{port}"
        self.server = Server(self._handle, host, port)
        self.revision = 100
        self._objects = {}
        self._changes = []
        self._changed = asyncio.Event()

    def write(self, kind, name, spec):
        """Write an object as the operator does, and return it."""
        return self._put(kind, name, spec)

    def names(self, kind):
        """Return the names of the objects of a kind."""
        return sorted(name for known, name in self._objects if known == kind)

    def _put(self, kind, name, spec):
        self.revision += 1
        old = self._objects.get((kind, name))
        found = {
            "metadata": {
                "name": name,
                "rev": self.revision,
                "finalizers": [],
                "deleting": False,
                "created": old["metadata"]["created"] if old else self.revision,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[kind, name] = found
        self._record(kind, {"object": found, "deleted": False})
        return found

    def _record(self, kind, event):
        self._changes.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, connection, request):
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")[2:]]
        body = json.loads(request.body) if request.body else {}
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        status, answer = await self._answer(request.method, kind, name, query, body)
        content = json.dumps(answer).encode() if answer is not None else b""
        connection.answer(status, {"Content-Type": "application/json"}, content)

    async def _answer(self, method, kind, name, query, body):
        metadata = body.get("metadata", {})
        if method == "GET" and not name:
            return await self._list_or_watch(kind, query)
        if method == "POST":
            name = metadata["name"]
            if (kind, name) in self._objects:
                return 409, self._objects[kind, name]
            return 200, self._put(kind, name, body.get("spec"))
        found = self._objects.get((kind, name))
        if found is None:
            return 404, None
        if method == "GET":
            return 200, found
        expected = metadata.get("rev", query.get("rev"))
        if expected is not None and int(expected) != found["metadata"]["rev"]:
            return 409, found
        if method == "DELETE":
            del self._objects[kind, name]
            self.revision += 1
            self._record(kind, {"object": found, "deleted": True})
            return 200, found
        if body.get("spec") == found["spec"]:
            return 200, found
        return 200, self._put(kind, name, body.get("spec"))

    async def _list_or_watch(self, kind, query):
        if "watch" not in query:
            after = query.get("after", "")
            names = [name for name in self.names(kind) if name > after]
            items = [self._objects[kind, name] for name in names[:ITEMS_MAX]]
            return 200, {
                "items": items,
                "more": len(names) > ITEMS_MAX,
                "store_revision": self.revision,
            }
        revision = int(query["watch"])
        seconds = min(WAIT_SECONDS_MAX, int(query.get("wait_ms", "0")) / 1000)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while True:
            events = [
                event for at, known, event in self._changes if known == kind and at > revision
            ]
            changed = self._changed
            left = deadline - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue
