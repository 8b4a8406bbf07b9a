"""A pool of HTTP connections to the local upstream."""

import asyncio
import math
import socket
from collections import deque

from bamboojunction.conf.addresses import split_address
from bamboojunction.core.memory_budget import MemoryBudget
from bamboojunction.upstreams.connection import (
    ExchangeFailure,
    RawResponse,
    ResponseMatcher,
    UpstreamConnection,
    match_any,
)

CONNECT_TIMEOUT_SECONDS = 1.0
# An upstream may close an idle connection just as a request is written to it. A connection that has
# been idle for longer than this is therefore used only for idempotent requests.
NON_IDEMPOTENT_IDLE_SECONDS_MAX = 0.5
# Safety margin: a connection is dropped this long before the upstream's advertised idle timeout.
IDLE_MARGIN_SECONDS = 1.5
# The longest time that an idle connection is kept, whatever timeout the upstream advertises.
IDLE_SECONDS_MAX = 4.0
# A connection fails when sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 3_000
# An upstream on the same machine takes or refuses a connection within this time.
PROBE_TIMEOUT_SECONDS = 0.1


class UpstreamPool:
    """A pool of connections to one address, which reuses the most recently used one first."""

    __slots__ = (
        "_body_max_bytes",
        "_host",
        "_idle",
        "_loop",
        "_memory",
        "_port",
        "opened_count",
    )

    def __init__(self, address: str, body_max_bytes: int, memory: MemoryBudget):
        self._body_max_bytes = body_max_bytes
        self._memory = memory
        self._host, self._port = split_address(address)
        self._loop = asyncio.get_running_loop()
        self._idle: deque[UpstreamConnection] = deque()
        self.opened_count = 0

    async def exchange(
        self,
        request: bytes,
        is_idempotent: bool,
        match_response: ResponseMatcher = match_any,
        deadline: float = math.inf,
        may_reuse: bool = True,
    ) -> RawResponse | ExchangeFailure:
        """Send a request and return its response, the first that ``match_response`` accepts.

        ``deadline`` is in seconds on the event loop's clock; it is the latest time at which the
        exchange ends. A request that was written is never sent again here, as the upstream may have
        run it: whether it is repeated is for the caller to decide, within its limits. A request
        that is not idempotent reuses a connection only shortly after its last response, and one
        without ``may_reuse`` gets a new connection.
        """
        connection = self._take_idle(is_idempotent) if may_reuse else None
        if connection is not None:
            result = await self._exchange_on(connection, request, match_response, deadline)
            if result is not ExchangeFailure.NOT_SENT:
                return result
        connection = await self._connect(deadline)
        if connection is None:
            return ExchangeFailure.NOT_SENT
        return await self._exchange_on(connection, request, match_response, deadline)

    async def refuses_connections(self) -> bool:
        """Return whether the upstream refuses a new connection, as it does after it ended.

        A connection that it takes is kept for the next request.
        """
        timeout_at = self._loop.time() + PROBE_TIMEOUT_SECONDS
        try:
            connection = await self._open(timeout_at)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        connection.idle_since = self._loop.time()
        self._idle.append(connection)
        return False

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().abort()

    async def _exchange_on(
        self,
        connection: UpstreamConnection,
        request: bytes,
        match_response: ResponseMatcher,
        deadline: float,
    ) -> RawResponse | ExchangeFailure:
        result = await connection.exchange(request, match_response, deadline)
        if connection.is_reusable:
            connection.idle_since = self._loop.time()
            self._idle.append(connection)
        return result

    def _take_idle(self, is_idempotent: bool) -> UpstreamConnection | None:
        now = self._loop.time()
        while self._idle and not self._is_usable(self._idle[0], now):
            self._idle.popleft().abort()
        if not self._idle:
            return None
        newest = self._idle[-1]
        if not newest.is_reusable:
            self._idle.pop()
            return self._take_idle(is_idempotent)
        if not is_idempotent and now - newest.idle_since > NON_IDEMPOTENT_IDLE_SECONDS_MAX:
            return None
        return self._idle.pop()

    def _is_usable(self, connection: UpstreamConnection, now: float) -> bool:
        advertised_timeout = connection.idle_timeout_seconds
        timeout = (
            IDLE_SECONDS_MAX
            if advertised_timeout is None
            else max(0.0, advertised_timeout - IDLE_MARGIN_SECONDS)
        )
        return connection.is_reusable and now - connection.idle_since < min(
            timeout, IDLE_SECONDS_MAX
        )

    async def _connect(self, deadline: float) -> UpstreamConnection | None:
        try:
            return await self._open(min(deadline, self._loop.time() + CONNECT_TIMEOUT_SECONDS))
        except (OSError, TimeoutError):
            return None

    async def _open(self, timeout_at: float) -> UpstreamConnection:
        async with asyncio.timeout_at(timeout_at):
            transport, connection = await self._loop.create_connection(
                lambda: UpstreamConnection(self._body_max_bytes, self._memory),
                self._host,
                self._port,
            )
        self.opened_count += 1
        raw_socket = transport.get_extra_info("socket")
        raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        return connection
