"""The HTTP client for the platform's object store."""

import contextlib
import ipaddress
import socket
from collections.abc import Callable
from enum import Enum, auto
from typing import TypeVar
from urllib.parse import quote, urlencode

import aiohttp
import msgspec
from result import Err, Ok, Result

from bamboojunction.conf.settings import PlatformSettings
from bamboojunction.platform.client import (
    ObjectList,
    PlatformClient,
    PlatformError,
    PlatformErrorKind,
    PlatformObject,
    WatchBatch,
)
from bamboojunction.platform.lenient_json import decode_leniently
from bamboojunction.upstreams.no_retry import disable_retries

RESPONSE_MAX_BYTES = 16_000_000
# A watch times out this long after the wait that it asked for.
WATCH_TIMEOUT_MARGIN_SECONDS = 2.0
CONNECTIONS_MAX = 4
# A store that does not accept a connection within this time is considered unavailable.
CONNECT_TIMEOUT_SECONDS = 1.0
# TCP keep-alive closes a connection to an unresponsive store after about three seconds.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES_MAX = 2
TCP_USER_TIMEOUT_MS = 3_000
# The longest wait of a watch that the store accepts.
WATCH_WAIT_MAX_MS = 30_000
# Allows an answer from a replica that lags; such a call costs a tenth of another one.
STALE_OK_QUERY = {"stale_ok": 1}

Parsed = TypeVar("Parsed")


class _Access(Enum):
    """Whether a call without a response may have changed the store."""

    READ = auto()
    WRITE = auto()


class _Metadata(msgspec.Struct):
    name: str
    # The store revision of the object's last change.
    rev: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    # Decoded on its own, as one object that cannot be read must not hide the others.
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct):
    items: list[msgspec.Raw]
    store_revision: int
    # Whether another page follows; the ``after`` query parameter requests it.
    more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct):
    events: list[msgspec.Raw]
    store_revision: int


class HttpPlatformClient(PlatformClient):
    """A platform client that moves to the next address after a call without a usable response.

    The failed call itself is not repeated.
    """

    __slots__ = ("_address_index", "_addresses", "_session", "_timeout_seconds")

    def __init__(self, addresses: list[str], timeout_seconds: float):
        for address in addresses:
            _validate_address(address)
        self._addresses = addresses
        self._address_index = 0
        self._timeout_seconds = timeout_seconds
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def from_config(cls, platform_settings: PlatformSettings) -> "HttpPlatformClient":
        """Create a client for the platform addresses in the settings."""
        return cls(platform_settings.addresses.split(), platform_settings.timeout_seconds)

    async def get(self, collection: str, name: str) -> Result[PlatformObject, PlatformError]:
        """Read one object."""
        path = _object_path(collection, name)
        return await self._call("GET", path, _Access.READ, _object_parser(collection))

    async def list(
        self, collection: str, may_be_stale: bool = False
    ) -> Result[ObjectList, PlatformError]:
        """Read a whole collection, page by page.

        The result has the revision of the first page, so that a watch from there misses no change.
        """
        objects: list[PlatformObject] = []
        revision: int | None = None
        after = ""
        while True:
            query = {"after": after} if after else {}
            if may_be_stale:
                query |= STALE_OK_QUERY
            path = _object_path(collection) + (f"?{urlencode(query)}" if query else "")
            result = await self._call("GET", path, _Access.READ, _json_parser(_Page))
            if result.is_err():
                return result
            page = result.ok()
            revision = page.store_revision if revision is None else revision
            found = _decode_each(page.items, _Object)
            objects.extend(_to_object(collection, item) for item in found)
            if not page.more or not found:
                return Ok(ObjectList(revision, objects))
            after = found[-1].metadata.name

    async def put(
        self, collection: str, name: str, value: dict, expected_version: int
    ) -> Result[PlatformObject, PlatformError]:
        """Write an object if it is still at ``expected_version``."""
        metadata = {"name": name}
        method, path = "POST", _object_path(collection)
        if expected_version:
            metadata["rev"] = expected_version
            method, path = "PUT", _object_path(collection, name)
        body = msgspec.json.encode({"metadata": metadata, "spec": value})
        parse = _object_parser(collection)
        result = await self._call(method, path, _Access.WRITE, parse, body=body)
        if expected_version and result.is_err():
            # The object was deleted, although a version of it was expected.
            return result.map_err(_conflict_if_missing)
        return result

    async def delete(
        self, collection: str, name: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Delete an object if it is still at ``expected_version``."""
        path = f"{_object_path(collection, name)}?rev={expected_version}"
        return await self._call("DELETE", path, _Access.WRITE, lambda body: None)

    async def watch(
        self,
        collection: str,
        after_revision: int,
        wait_seconds: float,
        may_be_stale: bool = False,
    ) -> Result[WatchBatch, PlatformError]:
        """Wait up to ``wait_seconds`` for changes after a revision."""
        wait_ms = min(WATCH_WAIT_MAX_MS, int(wait_seconds * 1000))
        query = {"watch": after_revision, "wait_ms": wait_ms}
        if may_be_stale:
            query |= STALE_OK_QUERY
        path = f"{_object_path(collection)}?{urlencode(query)}"
        timeout = wait_seconds + WATCH_TIMEOUT_MARGIN_SECONDS
        result = await self._call("GET", path, _Access.READ, _json_parser(_Events), timeout=timeout)
        return result.map(lambda events: _to_batch(collection, events))

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _call(
        self,
        method: str,
        path: str,
        access: _Access,
        parse: Callable[[bytes], Parsed],
        *,
        body: bytes | None = None,
        timeout: float | None = None,
    ) -> Result[Parsed, PlatformError]:
        if not self._addresses:
            return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, "no address is configured"))
        address = self._addresses[self._address_index % len(self._addresses)]
        result = await self._call_address(address, method, path, access, parse, body, timeout)
        if result.is_err() and result.err().kind in _FAILOVER_ERRORS:
            self._address_index += 1
        return result

    async def _call_address(
        self,
        address: str,
        method: str,
        path: str,
        access: _Access,
        parse: Callable[[bytes], Parsed],
        body: bytes | None,
        timeout: float | None,
    ) -> Result[Parsed, PlatformError]:
        url = f"http://{address}{path}"
        client_timeout = aiohttp.ClientTimeout(
            total=timeout or self._timeout_seconds,
            sock_connect=min(CONNECT_TIMEOUT_SECONDS, self._timeout_seconds),
        )
        headers = {"Content-Type": "application/json"} if body is not None else None
        try:
            async with self._get_session().request(
                method, url, data=body, headers=headers, timeout=client_timeout
            ) as response:
                content = await _read_bounded(response)
                return _parse_response(response.status, content, access, parse)
        except aiohttp.ClientConnectorError as error:
            return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, str(error)))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Err(_no_response_error(access, f"{type(error).__name__}: {error}"))

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=CONNECTIONS_MAX, socket_factory=_open_socket)
            self._session = aiohttp.ClientSession(
                connector=connector, trust_env=False, middlewares=(disable_retries,)
            )
        return self._session


def _open_socket(address_info: tuple) -> socket.socket:
    """Return a socket that detects an unresponsive peer, even while a watch waits."""
    family, socket_type, protocol, _, _ = address_info
    new_socket = socket.socket(family, socket_type, protocol)
    new_socket.setblocking(False)
    new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES_MAX)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return new_socket


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    content = bytearray()
    async for chunk in response.content.iter_chunked(65_536):
        content += chunk
        if len(content) > RESPONSE_MAX_BYTES:
            raise aiohttp.ClientPayloadError("the response is too large")
    return bytes(content)


_FAILOVER_ERRORS = frozenset(
    {PlatformErrorKind.UNAVAILABLE, PlatformErrorKind.LOST_ANSWER, PlatformErrorKind.MALFORMED}
)
_ERROR_BY_STATUS = {
    404: PlatformErrorKind.NOT_FOUND,
    409: PlatformErrorKind.CONFLICT,
    410: PlatformErrorKind.COMPACTED,
}


def _parse_response(
    status: int, content: bytes, access: _Access, parse: Callable[[bytes], Parsed]
) -> Result[Parsed, PlatformError]:
    if status in _ERROR_BY_STATUS:
        detail = content.decode(errors="replace")[:200]
        return Err(PlatformError(_ERROR_BY_STATUS[status], detail))
    if status == 429 or status == 503:
        return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, f"status {status}"))
    if status >= 300:
        # A gateway may time out on a write that the store still performs.
        return Err(_no_response_error(access, f"status {status}"))
    try:
        return Ok(parse(content))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        # A write whose response cannot be decoded may have taken effect.
        kind = PlatformErrorKind.MALFORMED if access is _Access.READ else None
        return Err(PlatformError(kind or PlatformErrorKind.LOST_ANSWER, str(error)))


def _no_response_error(access: _Access, detail: str) -> PlatformError:
    match access:
        case _Access.READ:
            return PlatformError(PlatformErrorKind.UNAVAILABLE, detail)
        case _Access.WRITE:
            return PlatformError(PlatformErrorKind.LOST_ANSWER, detail)


def _conflict_if_missing(error: PlatformError) -> PlatformError:
    if error.kind is PlatformErrorKind.NOT_FOUND:
        return PlatformError(PlatformErrorKind.CONFLICT, error.detail)
    return error


def _object_path(collection: str, name: str = "") -> str:
    path = f"/objects/{quote(collection, safe='')}"
    return f"{path}/{quote(name, safe='')}" if name else path


def _to_object(collection: str, decoded: _Object) -> PlatformObject:
    try:
        value = msgspec.json.decode(decoded.spec, type=dict)
    except msgspec.DecodeError:
        # Whoever reads the collection rejects the empty value, under the object's name.
        value = {}
    return PlatformObject(collection, decoded.metadata.name, decoded.metadata.rev, value)


def _decode_each(raw_items: list[msgspec.Raw], item_type: type[Parsed]) -> list[Parsed]:
    """Decode the items that can be decoded; an object without a name or a version has no use."""
    decoded: list[Parsed] = []
    for raw in raw_items:
        with contextlib.suppress(msgspec.DecodeError):
            decoded.append(msgspec.json.decode(raw, type=item_type))
    return decoded


def _to_batch(collection: str, decoded: _Events) -> WatchBatch:
    """Return the changes in a batch, with only the last event of each object."""
    received = _decode_each(decoded.events, _Event)
    last_by_name = {event.object.metadata.name: event for event in received}
    events = last_by_name.values()
    changed = [_to_object(collection, event.object) for event in events if not event.deleted]
    deleted = [event.object.metadata.name for event in events if event.deleted]
    return WatchBatch(decoded.store_revision, changed, deleted)


def _object_parser(collection: str) -> Callable[[bytes], PlatformObject]:
    decode = _json_parser(_Object)
    return lambda content: _to_object(collection, decode(content))


def _json_parser(result_type: type[Parsed]) -> Callable[[bytes], Parsed]:
    return lambda content: decode_leniently(content, result_type)


def _validate_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not port.isdigit():
        raise ValueError(f"{address!r} is not ip:port")
