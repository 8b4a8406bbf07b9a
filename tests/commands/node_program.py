"""The node program on the platform as a process, with settings for loopback addresses."""

import asyncio
import socket
import sys
from pathlib import Path

from bamboo_standins.process_fleet import free_port
from bamboojunction.platform.node_settings import SETTINGS_FILE_VARIABLE
from tests.adapter.test_node_settings import SETTINGS_FILE

PROGRAM = "bamboojunction.management.commands.mesh"
HOST = "127.0.0.1"
# The ports in the example of a settings file.
UPSTREAM, CALLERS, READY, REPORTS, LINKS = 8301, 8304, 8302, 8306, 7620
_PORTS = (UPSTREAM, READY, CALLERS, REPORTS, LINKS)


def write_settings(folder: Path) -> tuple[Path, dict[int, int]]:
    """Write a settings file with free ports; return its path, and the ports by the example's."""
    text = SETTINGS_FILE.replace(b"10.1.0.8", HOST.encode()).replace(b"10.200.1.7", HOST.encode())
    port_by_example = {port: free_port(HOST) for port in _PORTS}
    text = text.replace(b"7635", str(port_by_example[LINKS] + 15).encode())
    for example, port in port_by_example.items():
        text = text.replace(str(example).encode(), str(port).encode())
    path = folder / "settings.yaml"
    path.write_bytes(text)
    return path, port_by_example


def take(port: int, host: str = HOST) -> socket.socket:
    """Return a socket that listens on a port, so that no node can."""
    return socket.create_server((host, port))


async def start_program(
    path: Path, *arguments: str, environment: dict[str, str] | None = None
) -> asyncio.subprocess.Process:
    """Start the program, with its standard output and standard error in one pipe.

    ``arguments`` are those of the interpreter, if it is to run something else.
    """
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *(arguments or ("-m", PROGRAM)),
        env={SETTINGS_FILE_VARIABLE: str(path), **(environment or {})},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )


async def read_until(process: asyncio.subprocess.Process, text: bytes) -> list[bytes]:
    """Read lines until one holds a text, and return all; fail if the process ends before."""
    lines: list[bytes] = []
    async with asyncio.timeout(20.0):
        while not any(text in line for line in lines):
            line = await process.stdout.readline()
            if not line:
                raise AssertionError(f"the program ended after {lines}")
            lines.append(line)
    return lines


async def end(process: asyncio.subprocess.Process) -> None:
    """End the process, if it has not ended yet."""
    if process.returncode is None:
        process.kill()
    await process.wait()
