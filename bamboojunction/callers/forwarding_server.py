"""The HTTP server of a node that forwards whole requests, on one or more listening sockets."""

import asyncio
import socket

from bamboojunction.callers.connection import CallerConnection, RequestHandler
from bamboojunction.core.memory_budget import MemoryBudget

# One timer checks all connections; a timer for each would cost more.
TIMEOUT_CHECK_SECONDS = 0.5
CLOSE_POLL_SECONDS = 0.01


class ForwardingServer:
    """A server that passes the requests on its sockets to one handler."""

    __slots__ = (
        "_connections",
        "_handler",
        "_idle_seconds_max",
        "_is_stopping",
        "_listeners",
        "_memory",
        "_sockets",
        "_timeout_task",
    )

    def __init__(
        self,
        handler: RequestHandler,
        sockets: list[socket.socket],
        memory: MemoryBudget,
        idle_seconds_max: float,
    ):
        self._handler = handler
        self._sockets = sockets
        self._memory = memory
        self._idle_seconds_max = idle_seconds_max
        self._is_stopping = False
        self._connections: set[CallerConnection] = set()
        self._listeners: list[asyncio.Server] = []
        self._timeout_task: asyncio.Task | None = None

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being received or answered."""
        return any(not connection.is_idle for connection in self._connections)

    async def start(self) -> None:
        """Start serving."""
        for listening in self._sockets:
            await self.serve_on(listening)
        self._timeout_task = asyncio.create_task(self._check_timeouts())

    async def serve_on(self, listening: socket.socket) -> None:
        """Serve the requests on one more socket."""
        port = listening.getsockname()[1]
        self._listeners.append(
            await asyncio.get_running_loop().create_server(
                lambda: CallerConnection(
                    self._handler,
                    port,
                    self._memory,
                    self._add_connection,
                    self._connections.discard,
                ),
                sock=listening,
            )
        )

    def begin_stop(self) -> None:
        """Close each connection after its next response; new connections are still accepted."""
        self._is_stopping = True
        for connection in self._connections:
            connection.close_after_responses()

    async def close(self) -> None:
        """Stop listening, close idle connections, and wait until the others are closed."""
        for listener in self._listeners:
            listener.close()
        self.begin_stop()
        for connection in list(self._connections):
            connection.close_if_idle()
        if self._timeout_task is not None:
            self._timeout_task.cancel()
        while self._connections:
            await asyncio.sleep(CLOSE_POLL_SECONDS)

    def _add_connection(self, connection: CallerConnection) -> None:
        self._connections.add(connection)
        if self._is_stopping:
            connection.close_after_responses()

    async def _check_timeouts(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_SECONDS)
            now = loop.time()
            for connection in list(self._connections):
                connection.check_timeouts(now, self._idle_seconds_max)
