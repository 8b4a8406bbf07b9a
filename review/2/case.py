"""Answers without end fill a node's memory, and its end cuts off the requests of other clients."""

import asyncio
import os
import signal

from harness.deployment import run_case

# With TROUBLE=0 in the environment the disruption is left out.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PATHS = [
    {
        "name": "r-lookup",
        "path_prefix": "/lookup/",
        "kind": "idempotent",
        "timeout_ms": 3000,
        "goal_ms": 1500,
        "priority": 1,
        "service": "bayfinder",
        "attempts": 2,
    },
    {
        "name": "r-charge",
        "path_prefix": "/charge/",
        "kind": "non_idempotent",
        "timeout_ms": 1200,
        "goal_ms": 300,
        "priority": 1,
        "service": "payments",
        "attempts": 2,
    },
]
SERVICES = ("bayfinder", "bayfinder", "payments", "payments")
# One of the two backends of the service spoils each twentieth of its answers.
SPOILED_EVERY = 20
CALM_SECONDS = 3.0
TROUBLE_SECONDS = 5.0
# The limit of the settings file. The platform kills a process that exceeds it.
MEMORY_KB = 300 * 1024
MEMORY_CHECK_SECONDS = 0.05
LOST_MAX = 3


async def case(deployment, has_trouble):
    """Play the case; return whether the rule was broken."""
    record = deployment.record
    faulty = deployment.machines[0].backend
    faulty.answers = 0
    faulty.is_spoiling = False

    async def spoil(request, connection):
        await asyncio.sleep(faulty.work_seconds)
        faulty.answers += 1
        if not faulty.is_spoiling or faulty.answers % SPOILED_EVERY:
            return True
        request_id = request.headers["bamboojunction-request-id"]
        record.add("endless-begins", id=request_id)
        await send_without_end(connection, request_id)
        return False

    faulty.behave = spoil
    for machine in deployment.machines[2:]:
        machine.backend.work_seconds = 0.25
    watches = [
        asyncio.ensure_future(kill_over_limit(machine, record)) for machine in deployment.machines
    ]
    loads = [
        asyncio.ensure_future(deployment.load(machine, method, path, rate, 3.0, body))
        for machine in deployment.machines
        for method, path, body, rate in (
            ("GET", "/lookup/7", b"", 60),
            ("PUT", "/charge/7", b"amount=3", 40),
        )
    ]
    await asyncio.sleep(CALM_SECONDS)
    record.add("trouble-begins", takes_place=int(has_trouble))
    faulty.is_spoiling = has_trouble
    await asyncio.sleep(TROUBLE_SECONDS)
    faulty.is_spoiling = False
    record.add("trouble-ends")
    await asyncio.sleep(CALM_SECONDS)
    for task in (*loads, *watches):
        task.cancel()
    ran_at_sound = {
        run["id"] for machine in deployment.machines[1:] for run in machine.backend.runs
    }
    lost = [
        request_id
        for request_id, answer in deployment.answers.items()
        if answer in ("IncompleteReadError", "ConnectionResetError", "BrokenPipeError")
        and request_id in ran_at_sound
        and request_id in deployment.on_kept_connection
    ]
    kills = sum(" memory-kill " in line for line in record.lines)
    peak = max(machine.peak_kb for machine in deployment.machines) // 1024
    record.add("result", lost_on_kept_connections=len(lost), kills=kills, peak_mb=peak)
    return len(lost) > LOST_MAX


async def send_without_end(connection, request_id):
    """Send an answer whose body has no end, until the node closes the connection."""
    connection.transport.write(
        f"HTTP/1.1 200 OK\r\nBamboojunction-Request-Id: {request_id}\r\n"
        f"Bamboojunction-Server-Stamp: {request_id}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
    )
    piece = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
    while not connection.is_closed:
        connection.transport.write(piece)
        while (
            connection.transport.get_write_buffer_size() > len(piece) and not connection.is_closed
        ):
            await asyncio.sleep(0.001)
        await asyncio.sleep(0)


async def kill_over_limit(machine, record):
    """Kill the node process when it exceeds its memory, as the platform does."""
    machine.peak_kb = 0
    seen_mb = 0
    while True:
        used_kb = machine.memory_kb()
        machine.peak_kb = max(machine.peak_kb, used_kb)
        if used_kb // 51200 != seen_mb:
            seen_mb = used_kb // 51200
            record.add("memory", machine=machine.name, mb=used_kb // 1024)
        if used_kb > MEMORY_KB:
            record.add("memory-kill", machine=machine.name, mb=used_kb // 1024)
            machine.send_signal(signal.SIGKILL)
            await asyncio.sleep(0.5)
        await asyncio.sleep(MEMORY_CHECK_SECONDS)


run_case(case, 75, SERVICES, PATHS, slots=60, has_trouble=HAS_TROUBLE)
