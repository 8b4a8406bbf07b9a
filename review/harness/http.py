"""A small HTTP/1.1 server and client, with control over resets and unfinished answers."""

import asyncio
import contextlib
import socket
import struct

# With a linger time of zero, closing a socket sends a reset.
LINGER_ZERO = struct.pack("ii", 1, 0)
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected Request",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Request:
    """One request as received; header names are in lower case."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


def split_head(head):
    """Return the first line and the headers of a message."""
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def render_answer(status, headers, body):
    """Return the bytes of an answer that is framed by its length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class ServerConnection(asyncio.Protocol):
    """One connection; requests on it are handled one after the other.

    The handler gets the connection and the request. Its task is cancelled if the peer closes.
    """

    def __init__(self, handler, connections):
        self._handler = handler
        self._connections = connections
        self._buffer = bytearray()
        self._task = None
        self.transport = None
        self.is_closed = False

    def connection_made(self, transport):
        """Keep the connection until it is lost."""
        self.transport = transport
        self._connections.add(self)

    def connection_lost(self, error):
        """Cancel the work on the request of the connection."""
        self.is_closed = True
        self._connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data):
        """Start the next request once it is whole."""
        self._buffer += data
        self._start_next()

    def answer(self, status, headers, body=b""):
        """Write an answer, unless the connection is closed."""
        if not self.is_closed:
            self.transport.write(render_answer(status, headers, body))

    def reset(self):
        """Close the connection with a reset."""
        raw_socket = self.transport.get_extra_info("socket")
        if raw_socket is not None:
            with contextlib.suppress(OSError):
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self.transport.abort()

    def _start_next(self):
        if self._task is not None or self.is_closed:
            return
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        first, headers = split_head(bytes(self._buffer[:end]))
        length = int(headers.get("content-length", "0"))
        if len(self._buffer) < end + 4 + length:
            return
        body = bytes(self._buffer[end + 4 : end + 4 + length])
        del self._buffer[: end + 4 + length]
        method, target, _ = first.split(" ", 2)
        self._task = asyncio.ensure_future(self._handle(Request(method, target, headers, body)))

    async def _handle(self, request):
        try:
            await self._handler(self, request)
        finally:
            self._task = None
        self._start_next()


class Server:
    """A listener whose connections can all be dropped at once."""

    def __init__(self, handler, host, port):
        self._handler = handler
        self.host = host
        self.port = port
        self.connections = set()
        self._server = None

    async def start(self):
        """Listen for connections."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self._handler, self.connections),
            self.host,
            self.port,
            reuse_address=True,
            backlog=512,
        )

    def stop(self):
        """Stop listening and drop all connections, as a process that ends does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.transport.abort()


class Answer:
    """An answer as received; header names are in lower case."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class ClientConnections:
    """Client connections to one address, which are kept for further requests."""

    def __init__(self, address):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._idle = []

    async def request(
        self, method, target, headers, body=b"", seconds=5.0, fresh=False, on_kept=lambda: None
    ):
        """Send a request and return the answer, or the name of what went wrong.

        ``on_kept`` is called if the request goes out on a connection that was kept.
        """
        try:
            async with asyncio.timeout(seconds):
                return await self._request(method, target, headers, body, fresh, on_kept)
        except TimeoutError:
            return "timeout"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            return type(error).__name__

    def drop_idle(self):
        """Close the connections that are kept."""
        while self._idle:
            self._idle.pop()[1].close()

    async def _request(self, method, target, headers, body, fresh, on_kept):
        reader, writer = await self._connection(fresh, on_kept)
        is_kept = False
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            first, answer_headers = split_head(head[:-4])
            length = int(answer_headers.get("content-length", "0"))
            content = await reader.readexactly(length)
            is_kept = answer_headers.get("connection", "").lower() != "close"
            return Answer(int(first.split(" ")[1]), answer_headers, content)
        finally:
            if is_kept:
                self._idle.append((reader, writer))
            else:
                writer.close()

    async def _connection(self, fresh, on_kept):
        while self._idle and not fresh:
            reader, writer = self._idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                on_kept()
                return reader, writer
            writer.close()
        return await asyncio.open_connection(self._host, self._port)
