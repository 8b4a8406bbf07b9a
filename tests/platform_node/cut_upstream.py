"""An upstream on raw sockets that breaks off some of its answers."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass

from tests.platform_node.answers import STAMP, answer
from tests.platform_node.fleet import Upstream

LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass(slots=True, frozen=True)
class CutAnswer:
    """The beginning of an answer, and its "close", "reset", "silent" or "endless" ending.

    A streamed answer comes in two parts, and an endless one repeats its filler.
    """

    data: bytes
    ending: str
    is_streamed: bool = False
    filler: bytes = b""


class CutUpstream(Upstream):
    """An upstream whose answers to some paths are cut; other answers hold the path as body."""

    def __init__(self, service: str, instance_id: str):
        super().__init__(service, instance_id)
        self.cut_by_path: dict[str, CutAnswer] = {}
        # The ids of the requests that came on a connection that was in use before.
        self.reusing: set[str] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> str:
        self._server = await asyncio.start_server(self._serve, host, 0)
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await self._server.wait_closed()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            is_reused = False
            while await self._answer_next(reader, writer, is_reused):
                is_reused = True
        writer.close()

    async def _answer_next(self, reader, writer, is_reused: bool) -> bool:
        """Answer one request, and return whether the connection is kept."""
        request_line, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        value_by_name = dict(line.lower().split(": ", 1) for line in lines if line)
        await reader.readexactly(int(value_by_name.get("content-length", "0")))
        path, request_id = request_line.split()[1], value_by_name["bamboojunction-request-id"]
        self.executed.append(request_id)
        if is_reused:
            self.reusing.add(request_id)
        cut = self.cut_by_path.get(path)
        if cut is None:
            closes = "Connection: close\r\n" if "last" in path else ""
            writer.write(answer(request_id, path.encode(), extra=STAMP + closes))
            await writer.drain()
            return not closes
        middle = len(cut.data) // 2 if cut.is_streamed else 0
        writer.write(cut.data[:middle])
        await asyncio.sleep(0.002 if middle else 0)
        writer.write(cut.data[middle:])
        await writer.drain()
        while cut.ending == "endless":
            writer.write(cut.filler)
            await writer.drain()
        if cut.ending == "silent":
            await reader.read()
        elif cut.ending == "reset":
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()
        return False
