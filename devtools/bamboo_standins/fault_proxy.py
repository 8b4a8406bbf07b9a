"""A TCP proxy that injects faults, as a process or as a class within a test.

Run it as ``python -m bamboo_standins.fault_proxy --help``. ``POST /`` on its control address takes
the JSON form of `ProxyFaults`; fields that are left out return to their defaults. ``GET /`` gives
the faults in force.
"""

import argparse
import asyncio
import contextlib
import signal
import socket
import struct
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec
from aiohttp import web

CHUNK_BYTES = 65_536
QUEUE_MAX_CHUNKS = 256
# Closing a socket that lingers for 0 seconds sends a reset in place of an orderly end.
LINGER_ZERO = struct.pack("ii", 1, 0)


class Direction(StrEnum):
    """Name one direction of a connection."""

    TO_SERVER = "to-server"
    TO_CLIENT = "to-client"


class ProxyFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Hold the faults in force.

    ``cut`` resets every connection and refuses new ones. ``half_open`` swallows what is sent in
    one direction. ``stall`` holds all bytes back until it is lifted. ``drop_after_bytes`` resets a
    connection once that many bytes have passed over it in either direction (0: never).
    """

    delay_seconds: float = 0.0
    cut: bool = False
    half_open: Direction | None = None
    stall: bool = False
    drop_after_bytes: int = 0


class _Scope:
    """Hold the faults of the connections that come from one range of addresses."""

    __slots__ = ("faults", "flowing")

    def __init__(self):
        self.faults = ProxyFaults()
        self.flowing = asyncio.Event()
        self.flowing.set()

    def set_faults(self, faults: ProxyFaults) -> None:
        """Replace the faults and hold or release the bytes that wait."""
        self.faults = faults
        if faults.stall:
            self.flowing.clear()
        else:
            self.flowing.set()


@dataclass(slots=True, eq=False)
class _Connection:
    client: asyncio.StreamWriter
    server: asyncio.StreamWriter
    source: str
    passed_bytes: int = field(default=0)

    def reset(self) -> None:
        _reset(self.client)
        _reset(self.server)


def _reset(writer: asyncio.StreamWriter) -> None:
    connected = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()


class FaultProxy:
    """Forward connections from one address to another, with faults; addresses are ``ip:port``."""

    def __init__(self, listen: str, to: str):
        self._listen = listen
        self._to = to
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._scopes_by_prefix = {"": _Scope()}

    @property
    def faults(self) -> ProxyFaults:
        """Return the faults in force for every source."""
        return self._scopes_by_prefix[""].faults

    async def start(self) -> int:
        """Listen and return the port."""
        host, _, port = self._listen.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port), backlog=1024)
        return self._server.sockets[0].getsockname()[1]

    def set_faults(self, faults: ProxyFaults, source_prefix: str = "") -> None:
        """Replace the faults in force; a cut resets every connection at once.

        With a prefix of source addresses, the faults are those of connections from there only and
        go before the faults of every source.
        """
        scope = self._scopes_by_prefix.setdefault(source_prefix, _Scope())
        scope.set_faults(faults)
        if faults.cut:
            self._reset_all(scope)

    def clear_faults(self) -> None:
        """Take back the faults of every source."""
        for scope in self._scopes_by_prefix.values():
            scope.set_faults(ProxyFaults())
        prefixes = [prefix for prefix in self._scopes_by_prefix if prefix]
        for prefix in prefixes:
            del self._scopes_by_prefix[prefix]

    def _scope(self, source: str) -> _Scope:
        """Return the scope of the longest prefix that a source matches."""
        matching = (prefix for prefix in self._scopes_by_prefix if source.startswith(prefix))
        return self._scopes_by_prefix[max(matching, key=len)]

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        self._server.close()
        self.clear_faults()
        for connection in list(self._connections):
            connection.reset()
        # A direction with a full queue waits for a sender that may have ended with its connection.
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _reset_all(self, scope: _Scope) -> None:
        for connection in list(self._connections):
            if self._scope(connection.source) is scope:
                connection.reset()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = writer.get_extra_info("peername")[0]
        if self._scope(source).faults.cut:
            _reset(writer)
            return
        host, _, port = self._to.rpartition(":")
        try:
            server_reader, server_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            return
        connection = _Connection(writer, server_writer, source)
        self._connections.add(connection)
        self._tasks.add(asyncio.current_task())
        try:
            await asyncio.gather(
                self._forward(connection, Direction.TO_SERVER, reader, server_writer),
                self._forward(connection, Direction.TO_CLIENT, server_reader, writer),
            )
        except (OSError, asyncio.CancelledError):
            # Only stop cancels; the stream's own callback would log a cancelled task as an error.
            connection.reset()
        finally:
            self._connections.discard(connection)
            self._tasks.discard(asyncio.current_task())
            connection.client.close()
            connection.server.close()

    async def _forward(
        self,
        connection: _Connection,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Pass one direction on; reading and writing overlap, so a delay costs no throughput."""
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(QUEUE_MAX_CHUNKS)
        sending = asyncio.create_task(self._send(connection, direction, chunks, writer))
        loop = asyncio.get_running_loop()
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                delay_seconds = self._scope(connection.source).faults.delay_seconds
                await chunks.put((loop.time() + delay_seconds, chunk))
            delay_seconds = self._scope(connection.source).faults.delay_seconds
            await chunks.put((loop.time() + delay_seconds, b""))
            await sending
        finally:
            sending.cancel()

    async def _send(
        self,
        connection: _Connection,
        direction: Direction,
        chunks: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, chunk = await chunks.get()
            if (wait_seconds := due - loop.time()) > 0:
                await asyncio.sleep(wait_seconds)
            await self._scope(connection.source).flowing.wait()
            if self._scope(connection.source).faults.half_open is direction:
                if not chunk:
                    return
                continue
            if not chunk:
                writer.write_eof()
                return
            if self._drops(connection, writer, chunk):
                return
            writer.write(chunk)
            await writer.drain()

    def _drops(self, connection: _Connection, writer: asyncio.StreamWriter, chunk: bytes) -> bool:
        """Reset the connection when the chunk takes it over the bytes that may pass."""
        bytes_max = self._scope(connection.source).faults.drop_after_bytes
        if not bytes_max:
            return False
        left = bytes_max - connection.passed_bytes
        connection.passed_bytes += len(chunk)
        if len(chunk) < left:
            return False
        writer.write(chunk[: max(left, 0)])
        connection.reset()
        return True


class ControlServer:
    """Let another process set the faults over HTTP."""

    def __init__(self, proxy: FaultProxy, address: str):
        self._proxy = proxy
        self._address = address

    async def start(self) -> int:
        """Listen and return the port."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        server = await loop.create_server(web.Server(self._handle), host, int(port))
        return server.sockets[0].getsockname()[1]

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.method == "POST":
            try:
                faults = msgspec.json.decode(await request.read(), type=ProxyFaults)
            except msgspec.MsgspecError as error:
                return web.Response(status=400, text=str(error))
            self._proxy.set_faults(faults)
        return web.Response(body=msgspec.json.encode(self._proxy.faults))


async def serve(listen: str, to: str, control: str) -> None:
    """Forward until SIGTERM or SIGINT."""
    proxy = FaultProxy(listen, to)
    port = await proxy.start()
    control_port = await ControlServer(proxy, control).start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    print(f"listening port={port} control_port={control_port}", flush=True)
    await stop.wait()
    await proxy.stop()


def main() -> None:
    """Run the proxy."""
    parser = argparse.ArgumentParser(prog="bamboo_standins.fault_proxy", description=__doc__)
    parser.add_argument("--listen", required=True, help="ip:port; port 0 picks one")
    parser.add_argument("--to", required=True, help="ip:port of the server behind the proxy")
    parser.add_argument("--control", required=True, help="ip:port; port 0 picks one")
    arguments = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(arguments.listen, arguments.to, arguments.control))


if __name__ == "__main__":
    main()
