"""An HTTP client that sends calls to a node as a caller does."""

import asyncio
import secrets
from dataclasses import dataclass, replace
from enum import StrEnum

import aiohttp

from bamboojunction.callers import headers as header_names
from bamboojunction.management.load.plan import CallPlan

NONCE_BYTES = 12
# How long to wait for an answer after the call's deadline.
ANSWER_GRACE_SECONDS = 5.0
# How long to wait for an answer to a call without a deadline.
ANSWER_TIMEOUT_SECONDS = 120.0


class CallEnding(StrEnum):
    """How a call ended for its caller; LOST means that no complete answer arrived."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    LOST = "lost"


@dataclass(slots=True, frozen=True)
class CallResult:
    """The result of one call of a load."""

    kind: str
    ending: CallEnding
    number: int = 0
    status: int = 0
    reason: str = ""
    key: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    seconds: float = 0.0

    @property
    def succeeded(self) -> bool:
        """Return whether the call ran and its status is below 400."""
        return self.ending is CallEnding.RAN and self.status < 400

    def header(self, name: str) -> str:
        """Return the first header with a case-insensitive name, or an empty string."""
        lower_name = name.lower()
        return next((value for key, value in self.headers if key.lower() == lower_name), "")


class CallClient:
    """A client with a pool of connections to one node."""

    __slots__ = ("_base_url", "_key_prefix", "_loop", "_session")

    def __init__(self, address: str, connections: int):
        self._base_url = f"http://{address}"
        self._key_prefix = ""
        self._loop = asyncio.get_running_loop()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=connections),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def call(
        self, plan: CallPlan, kind: str, scheduled_at: float, number: int = 0
    ) -> CallResult:
        """Send one call; its duration is measured from ``scheduled_at``, in loop time."""
        key = plan.key
        try:
            key = await self._key_for(plan, kind)
            result = await self._send_request(plan, kind, key, number)
        except (aiohttp.ClientError, OSError) as error:
            reason = type(error).__name__
            result = CallResult(kind, CallEnding.LOST, number, reason=reason, key=key)
        return replace(result, seconds=self._loop.time() - scheduled_at)

    async def _key_for(self, plan: CallPlan, kind: str) -> str:
        if plan.key or not plan.is_keyed(kind):
            return plan.key
        if not self._key_prefix:
            async with self._session.get(f"{self._base_url}/_bamboo/home") as response:
                self._key_prefix = await response.text()
        return f"{self._key_prefix}/{secrets.token_hex(NONCE_BYTES)}"

    async def _send_request(self, plan: CallPlan, kind: str, key: str, number: int) -> CallResult:
        seconds = plan.deadline_ms / 1000 + ANSWER_GRACE_SECONDS
        timeout = aiohttp.ClientTimeout(
            total=seconds if plan.deadline_ms else ANSWER_TIMEOUT_SECONDS
        )
        async with self._session.request(
            plan.method,
            self._base_url + plan.path_of(number),
            headers=_request_headers(plan, kind, key),
            data=plan.body_of(number) or None,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            body = await response.read()
        self._key_prefix = response.headers.get(header_names.HOME, self._key_prefix)
        return CallResult(
            kind,
            _parse_ending(response),
            number,
            response.status,
            response.headers.get(header_names.REASON, ""),
            key,
            tuple(response.headers.items()),
            body,
        )


def _request_headers(plan: CallPlan, kind: str, key: str) -> dict[str, str]:
    headers = {
        header_names.KIND: kind,
        header_names.SERVICE: plan.service,
        header_names.DEADLINE_MS: str(plan.deadline_ms or ""),
        header_names.KEY: key,
    }
    return {name: value for name, value in headers.items() if value}


def _parse_ending(response: aiohttp.ClientResponse) -> CallEnding:
    try:
        return CallEnding(response.headers.get(header_names.OUTCOME, ""))
    except ValueError:
        return CallEnding.LOST
