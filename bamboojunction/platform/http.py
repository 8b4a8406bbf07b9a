"""The platform's object API over HTTP."""

import ipaddress
from collections.abc import Callable
from enum import Enum, auto
from typing import TypeVar
from urllib.parse import quote

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
from bamboojunction.upstreams.single_send import send_once

ANSWER_MAX_BYTES = 16_000_000
# A watch that gets no answer for this long after its wait counts as hung.
WATCH_GRACE_SECONDS = 2.0
CONNECTIONS_MAX = 4

Parsed = TypeVar("Parsed")


class _Effect(Enum):
    """Say whether a call without an answer may have changed the store."""

    READ = auto()
    WRITE = auto()


class HttpPlatformClient(PlatformClient):
    """Call the first address that answers; each failure moves on to the next address."""

    __slots__ = ("_addresses", "_current", "_session", "_timeout_seconds")

    def __init__(self, addresses: list[str], timeout_seconds: float):
        for address in addresses:
            _check_address(address)
        self._addresses = addresses
        self._current = 0
        self._timeout_seconds = timeout_seconds
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def from_config(cls, platform_settings: PlatformSettings) -> "HttpPlatformClient":
        """Create the client of the platform that the settings name."""
        return cls(platform_settings.addresses.split(), platform_settings.timeout_seconds)

    async def get(self, collection: str, name: str) -> Result[PlatformObject, PlatformError]:
        """Read one object."""
        path = f"/objects/{quote(collection, safe='')}/{quote(name, safe='')}"
        return await self._call("GET", path, _Effect.READ, _parser(PlatformObject))

    async def list(self, collection: str) -> Result[ObjectList, PlatformError]:
        """Read a whole collection."""
        path = f"/objects/{quote(collection, safe='')}"
        return await self._call("GET", path, _Effect.READ, _parser(ObjectList))

    async def put(
        self, collection: str, name: str, value: dict, if_version: int
    ) -> Result[PlatformObject, PlatformError]:
        """Write an object if it still has a version."""
        path = f"/objects/{quote(collection, safe='')}/{quote(name, safe='')}"
        path += f"?if_version={if_version}"
        body = msgspec.json.encode(value)
        return await self._call("PUT", path, _Effect.WRITE, _parser(PlatformObject), body=body)

    async def delete(
        self, collection: str, name: str, if_version: int
    ) -> Result[None, PlatformError]:
        """Delete an object if it still has a version."""
        path = f"/objects/{quote(collection, safe='')}/{quote(name, safe='')}"
        path += f"?if_version={if_version}"
        return await self._call("DELETE", path, _Effect.WRITE, lambda body: None)

    async def watch(
        self, collection: str, since: int, wait_seconds: float
    ) -> Result[WatchBatch, PlatformError]:
        """Wait for changes after a revision."""
        path = f"/watch/{quote(collection, safe='')}?since={since}&wait={wait_seconds}"
        timeout = wait_seconds + WATCH_GRACE_SECONDS
        return await self._call("GET", path, _Effect.READ, _parser(WatchBatch), timeout=timeout)

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _call(
        self,
        method: str,
        path: str,
        effect: _Effect,
        parse: Callable[[bytes], Parsed],
        *,
        body: bytes | None = None,
        timeout: float | None = None,
    ) -> Result[Parsed, PlatformError]:
        if not self._addresses:
            return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, "no address is configured"))
        address = self._addresses[self._current % len(self._addresses)]
        result = await self._call_address(address, method, path, effect, parse, body, timeout)
        if result.is_err() and result.err().kind in _MOVING_ERRORS:
            self._current += 1
        return result

    async def _call_address(
        self,
        address: str,
        method: str,
        path: str,
        effect: _Effect,
        parse: Callable[[bytes], Parsed],
        body: bytes | None,
        timeout: float | None,
    ) -> Result[Parsed, PlatformError]:
        url = f"http://{address}{path}"
        limit = aiohttp.ClientTimeout(total=timeout or self._timeout_seconds)
        try:
            async with self._open_session().request(
                method, url, data=body, timeout=limit
            ) as answer:
                content = await _read_bounded(answer)
                return _interpret(answer.status, content, effect, parse)
        except aiohttp.ClientConnectorError as error:
            return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, str(error)))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Err(_without_answer(effect, f"{type(error).__name__}: {error}"))

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=CONNECTIONS_MAX)
            self._session = aiohttp.ClientSession(
                connector=connector, trust_env=False, middlewares=(send_once,)
            )
        return self._session


async def _read_bounded(answer: aiohttp.ClientResponse) -> bytes:
    content = bytearray()
    async for chunk in answer.content.iter_chunked(65_536):
        content += chunk
        if len(content) > ANSWER_MAX_BYTES:
            raise aiohttp.ClientPayloadError("the answer is too large")
    return bytes(content)


_MOVING_ERRORS = frozenset(
    {PlatformErrorKind.UNAVAILABLE, PlatformErrorKind.LOST_ANSWER, PlatformErrorKind.MALFORMED}
)
_ERROR_BY_STATUS = {
    404: PlatformErrorKind.NOT_FOUND,
    409: PlatformErrorKind.CONFLICT,
    410: PlatformErrorKind.COMPACTED,
}


def _interpret(
    status: int, content: bytes, effect: _Effect, parse: Callable[[bytes], Parsed]
) -> Result[Parsed, PlatformError]:
    if status in _ERROR_BY_STATUS:
        detail = content.decode(errors="replace")[:200]
        return Err(PlatformError(_ERROR_BY_STATUS[status], detail))
    if status == 429 or status == 503:
        return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, f"status {status}"))
    if status >= 300:
        # A gateway may give up on a write that the store still carries out.
        return Err(_without_answer(effect, f"status {status}"))
    try:
        return Ok(parse(content))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        kind = PlatformErrorKind.MALFORMED if effect is _Effect.READ else None
        return Err(PlatformError(kind or PlatformErrorKind.LOST_ANSWER, str(error)))


def _without_answer(effect: _Effect, detail: str) -> PlatformError:
    match effect:
        case _Effect.READ:
            return PlatformError(PlatformErrorKind.UNAVAILABLE, detail)
        case _Effect.WRITE:
            return PlatformError(PlatformErrorKind.LOST_ANSWER, detail)


def _parser(kind: type[Parsed]) -> Callable[[bytes], Parsed]:
    return msgspec.json.Decoder(kind).decode


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not port.isdigit():
        raise ValueError(f"{address!r} is not ip:port")
