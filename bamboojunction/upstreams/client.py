"""The aiohttp client that sends admitted calls to the local upstream."""

import asyncio
import time
from dataclasses import dataclass

import aiohttp

from bamboojunction.conf.settings import UpstreamSettings
from bamboojunction.core.admission.gate import CompletionStatus
from bamboojunction.core.calls import Call
from bamboojunction.core.outcomes import (
    NotRun,
    NotRunReason,
    Outcome,
    Ran,
    Unknown,
    UnknownReason,
)
from bamboojunction.upstreams.no_retry import disable_retries

RESPONSE_MAX_BYTES = 1_000_000
OVERLOAD_STATUSES = frozenset({429, 503})
# Headers that are not forwarded: the hop-by-hop headers, and those that each client or server sets
# itself.
NOT_FORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(slots=True, frozen=True)
class UpstreamResult:
    """The result of sending a call to the upstream.

    ``service_seconds`` is the time from sending the call to the end of the response. With
    ``is_crash_seen`` the upstream took no connection after the call's own had broken.
    """

    outcome: Outcome
    service_end: CompletionStatus
    service_seconds: float
    is_crash_seen: bool = False


class UpstreamClient:
    """An HTTP client for the upstream, which owns its connections."""

    __slots__ = ("_base_url", "_session")

    def __init__(self, address: str, connections: int):
        self._base_url = f"http://{address}"
        connector = aiohttp.TCPConnector(limit=connections)
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
            middlewares=(disable_retries,),
        )

    @classmethod
    def from_config(cls, upstream_settings: UpstreamSettings) -> "UpstreamClient":
        """Create a client for the upstream in the settings."""
        return cls(upstream_settings.address, upstream_settings.connections)

    async def send(self, call: Call, headers: list[tuple[str, str]]) -> UpstreamResult:
        """Send a call exactly once and read the whole response, at most until its deadline."""
        # The event loop's clock may have a resolution of only one millisecond.
        started = time.monotonic()
        outcome, completion_status = await self._exchange(call, headers)
        return UpstreamResult(outcome, completion_status, time.monotonic() - started)

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def _exchange(
        self, call: Call, headers: list[tuple[str, str]]
    ) -> tuple[Outcome, CompletionStatus]:
        try:
            async with asyncio.timeout_at(call.deadline):
                async with self._session.request(
                    call.method,
                    self._base_url + call.path,
                    headers=headers,
                    data=call.body or None,
                    allow_redirects=False,
                ) as response:
                    body = await response.content.read(RESPONSE_MAX_BYTES + 1)
                    while len(body) <= RESPONSE_MAX_BYTES and not response.content.at_eof():
                        body += await response.content.read(RESPONSE_MAX_BYTES + 1 - len(body))
        except aiohttp.ClientConnectorError:
            return NotRun(NotRunReason.UNREACHABLE, retry_after=0.1), CompletionStatus.CRASHED
        except aiohttp.ClientPayloadError:
            return Unknown(UnknownReason.TRUNCATED), CompletionStatus.CRASHED
        except (aiohttp.ClientError, OSError) as error:
            if isinstance(error, TimeoutError):
                return Unknown(UnknownReason.DEADLINE), CompletionStatus.FAILED
            return Unknown(UnknownReason.LOST_UPSTREAM), CompletionStatus.CRASHED
        if len(body) > RESPONSE_MAX_BYTES:
            return Unknown(UnknownReason.TOO_LARGE), CompletionStatus.FAILED
        return _interpret_response(response, body)


def _interpret_response(
    response: aiohttp.ClientResponse, body: bytes
) -> tuple[Outcome, CompletionStatus]:
    if response.headers.get("Bamboo-Outcome") == "not-run":
        seconds = _retry_after_seconds(response)
        return NotRun(NotRunReason.SHED, retry_after=seconds), CompletionStatus.OVERLOADED
    pairs = (
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in response.raw_headers
    )
    headers = tuple(
        (name, value) for name, value in pairs if name.lower() not in NOT_FORWARDED_HEADERS
    )
    completion_status = (
        CompletionStatus.OVERLOADED
        if response.status in OVERLOAD_STATUSES
        else CompletionStatus.SUCCEEDED
    )
    if response.status >= 500 and completion_status is CompletionStatus.SUCCEEDED:
        completion_status = CompletionStatus.FAILED
    return Ran(response.status, headers, body), completion_status


def _retry_after_seconds(response: aiohttp.ClientResponse) -> float:
    text = response.headers.get("Bamboo-Retry-After-Ms", "")
    return int(text) / 1000 if text.isdecimal() else 0.0
