"""The uvicorn HTTP server, which runs inside the node's own event loop."""

import asyncio
import contextlib
import socket

import uvicorn

from bamboojunction.callers.protocol import limiting_protocol
from bamboojunction.callers.sockets import listen
from bamboojunction.conf.settings import CallerSettings

GRACEFUL_SHUTDOWN_SECONDS = 30


class _ServerWithoutSignals(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the node process."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Do not install signal handlers."""
        yield


class HttpServer:
    """A server of an ASGI application on listening sockets."""

    __slots__ = ("_server", "_sockets", "_task")

    def __init__(self, app, sockets: list[socket.socket], **options):
        self._sockets = sockets
        config = uvicorn.Config(
            app,
            ws="none",
            loop="none",
            lifespan="off",
            interface="asgi3",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            timeout_graceful_shutdown=GRACEFUL_SHUTDOWN_SECONDS,
            **options,
        )
        self._server = _ServerWithoutSignals(config)
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start serving."""
        self._task = asyncio.create_task(self._server.serve(sockets=self._sockets))

    async def close(self, wait_for_requests: bool = True) -> None:
        """Wait for running requests to finish, then close.

        If ``wait_for_requests`` is false, running requests are cancelled and answered with an
        unknown outcome.
        """
        if not wait_for_requests:
            self._server.config.timeout_graceful_shutdown = 0
        self._server.should_exit = True
        if self._task is not None:
            await self._task


class CallerServer(HttpServer):
    """The HTTP server for callers, with the limits from the settings."""

    __slots__ = ()

    def __init__(self, app, host: str, port: int, settings: CallerSettings):
        super().__init__(
            app,
            [listen(host, port)],
            http=limiting_protocol(settings),
            limit_concurrency=settings.connections_max,
        )
