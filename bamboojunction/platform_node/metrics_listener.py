"""The listening socket of the metrics, which is taken beside serving."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from bamboojunction.callers.sockets import find_holder, listen
from bamboojunction.conf.addresses import split_address
from bamboojunction.telemetry.events import EventLog

# How often a port that another process has is tried again.
RETRY_SECONDS = 1.0


class MetricsListener:
    """A task that listens on the address of the metrics as soon as its port is free.

    Port 0 takes any free port. Requests are told apart by their port, so one of ``other_ports``
    is left to its purpose.
    """

    __slots__ = ("_address", "_events", "_other_ports", "_serve")

    def __init__(
        self,
        address: str,
        other_ports: frozenset[int],
        serve: Callable[[socket.socket], Awaitable[None]],
        events: EventLog,
    ):
        self._address = address
        self._other_ports = other_ports
        self._serve = serve
        self._events = events

    async def run(self) -> None:
        """Take the port, trying again until it is free, and serve on it."""
        host, port = split_address(self._address)
        if port in self._other_ports:
            self._events.metrics_port_taken(self._address, "another address has the same port", "")
            return
        has_reported = False
        while True:
            try:
                listening = listen(host, port)
                break
            except OSError as error:
                problem = str(error)
            if not has_reported:
                has_reported = True
                # The search reads the files of all processes, which may take a while.
                holder = await asyncio.to_thread(find_holder, host, port)
                self._events.metrics_port_taken(self._address, problem, holder)
            await asyncio.sleep(RETRY_SECONDS)
        await self._serve(listening)
        self._events.metrics_listening(f"{host}:{listening.getsockname()[1]}")
