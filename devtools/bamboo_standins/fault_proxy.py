"""TCP proxy that injects network faults, usable as a process or as a class in a test.

Run it as ``python -m bamboo_standins.fault_proxy --help``. ``POST /`` on its control address takes
the JSON form of `ProxyFaults`; omitted fields are reset to their defaults. ``GET /`` returns
the current faults.
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
# SO_LINGER with a timeout of 0 makes closing the socket send a TCP reset instead of a FIN.
LINGER_ZERO = struct.pack("ii", 1, 0)


class Direction(StrEnum):
    """A direction of a proxied connection."""

    TO_SERVER = "to-server"
    TO_CLIENT = "to-client"


class ProxyFaults(msgspec.Struct, forbid_unknown_fields=True):
    """The faults that the proxy injects.

    ``delay_seconds`` delays each direction. ``cut`` resets every connection, including new ones.
    ``half_open`` discards the bytes sent in one direction. ``stall`` holds back all bytes until it
    is cleared. ``drop_after_bytes`` resets a connection once that many bytes have passed over it
    in both directions together (0: never).
    """

    delay_seconds: float = 0.0
    cut: bool = False
    half_open: Direction | None = None
    stall: bool = False
    drop_after_bytes: int = 0


class _SourceFaults:
    """The faults of the connections whose source address has a given prefix."""

    __slots__ = ("faults", "forwarding_allowed")

    def __init__(self):
        self.faults = ProxyFaults()
        self.forwarding_allowed = asyncio.Event()
        self.forwarding_allowed.set()

    def set_faults(self, faults: ProxyFaults) -> None:
        """Replace the faults, and hold back or release bytes that wait to be forwarded."""
        self.faults = faults
        if faults.stall:
            self.forwarding_allowed.clear()
        else:
            self.forwarding_allowed.set()


@dataclass(slots=True, eq=False)
class _Connection:
    client: asyncio.StreamWriter
    server: asyncio.StreamWriter
    source: str
    forwarded_bytes: int = field(default=0)

    def reset(self) -> None:
        _reset(self.client)
        _reset(self.server)


def _reset(writer: asyncio.StreamWriter) -> None:
    connected_socket = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()


class FaultProxy:
    """A proxy from one address to another that injects faults; addresses are ``ip:port``."""

    def __init__(self, listen: str, target: str):
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._source_faults_by_prefix = {"": _SourceFaults()}

    @property
    def faults(self) -> ProxyFaults:
        """Return the faults that apply to sources without faults of their own."""
        return self._source_faults_by_prefix[""].faults

    async def start(self) -> int:
        """Start listening and return the port."""
        host, _, port = self._listen.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port), backlog=1024)
        port = self._server.sockets[0].getsockname()[1]
        self._listen = f"{host}:{port}"
        return port

    def refuse(self) -> None:
        """Refuse new connections, as a host whose server has ended, until started again."""
        self._server.close()

    def set_faults(self, faults: ProxyFaults, source_prefix: str = "") -> None:
        """Replace the faults; a cut resets open connections at once.

        With a prefix of source addresses, the faults apply only to connections from matching
        sources, for which they replace the general ones.
        """
        source_faults = self._source_faults_by_prefix.setdefault(source_prefix, _SourceFaults())
        source_faults.set_faults(faults)
        if faults.cut:
            self._reset_connections(source_faults)

    def clear_faults(self) -> None:
        """Clear the faults of all sources."""
        for source_faults in self._source_faults_by_prefix.values():
            source_faults.set_faults(ProxyFaults())
        prefixes = [prefix for prefix in self._source_faults_by_prefix if prefix]
        for prefix in prefixes:
            del self._source_faults_by_prefix[prefix]

    def _faults_for(self, source: str) -> _SourceFaults:
        """Return the faults of the longest prefix that a source address matches."""
        matching_prefixes = (
            prefix for prefix in self._source_faults_by_prefix if source.startswith(prefix)
        )
        return self._source_faults_by_prefix[max(matching_prefixes, key=len)]

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        self._server.close()
        self.clear_faults()
        for connection in list(self._connections):
            connection.reset()
        # A task whose queue is full may wait forever for a sender that ended with its connection.
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _reset_connections(self, source_faults: _SourceFaults) -> None:
        for connection in list(self._connections):
            if self._faults_for(connection.source) is source_faults:
                connection.reset()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = writer.get_extra_info("peername")[0]
        if self._faults_for(source).faults.cut:
            _reset(writer)
            return
        host, _, port = self._target.rpartition(":")
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
            # Only `stop` cancels this task. The cancellation is not raised again, because the
            # callback of asyncio streams would log the cancelled task as an error.
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
        """Forward one direction; reads and writes overlap, so a delay costs no throughput."""
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(QUEUE_MAX_CHUNKS)
        send_task = asyncio.create_task(self._send(connection, direction, chunks, writer))
        loop = asyncio.get_running_loop()
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                delay_seconds = self._faults_for(connection.source).faults.delay_seconds
                await chunks.put((loop.time() + delay_seconds, chunk))
            delay_seconds = self._faults_for(connection.source).faults.delay_seconds
            await chunks.put((loop.time() + delay_seconds, b""))
            await send_task
        finally:
            send_task.cancel()

    async def _send(
        self,
        connection: _Connection,
        direction: Direction,
        chunks: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at, chunk = await chunks.get()
            if (wait_seconds := due_at - loop.time()) > 0:
                await asyncio.sleep(wait_seconds)
            await self._faults_for(connection.source).forwarding_allowed.wait()
            if self._faults_for(connection.source).faults.half_open is direction:
                if not chunk:
                    return
                continue
            if not chunk:
                writer.write_eof()
                return
            if self._reset_at_byte_limit(connection, writer, chunk):
                return
            writer.write(chunk)
            await writer.drain()

    def _reset_at_byte_limit(
        self, connection: _Connection, writer: asyncio.StreamWriter, chunk: bytes
    ) -> bool:
        """Reset the connection if the chunk reaches the byte limit, and return whether it did.

        The part of the chunk below the limit is written first.
        """
        byte_limit = self._faults_for(connection.source).faults.drop_after_bytes
        if not byte_limit:
            return False
        remaining_bytes = byte_limit - connection.forwarded_bytes
        connection.forwarded_bytes += len(chunk)
        if len(chunk) < remaining_bytes:
            return False
        writer.write(chunk[: max(remaining_bytes, 0)])
        connection.reset()
        return True


class ControlServer:
    """HTTP server through which another process reads and sets the faults."""

    def __init__(self, proxy: FaultProxy, address: str):
        self._proxy = proxy
        self._address = address

    async def start(self) -> int:
        """Start listening and return the port."""
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


async def serve(listen: str, target: str, control: str) -> None:
    """Run the proxy and its control server until SIGTERM or SIGINT."""
    proxy = FaultProxy(listen, target)
    port = await proxy.start()
    control_port = await ControlServer(proxy, control).start()
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    print(f"listening port={port} control_port={control_port}", flush=True)
    await stop_requested.wait()
    await proxy.stop()


def main() -> None:
    """Parse the command line and run the proxy."""
    parser = argparse.ArgumentParser(prog="bamboo_standins.fault_proxy", description=__doc__)
    parser.add_argument("--listen", required=True, help="ip:port; port 0 picks a free one")
    parser.add_argument("--to", required=True, help="ip:port of the server to forward to")
    parser.add_argument("--control", required=True, help="ip:port; port 0 picks a free one")
    arguments = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(arguments.listen, arguments.to, arguments.control))


if __name__ == "__main__":
    main()
