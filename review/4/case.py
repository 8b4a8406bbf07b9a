"""A backend that has left is used again after its node was killed and restarted."""

import asyncio
import os
import signal

from harness.deployment import CouldNotRunError, run_case
from harness.machines import BEAT_SECONDS, CONTACT_SECONDS, DRAIN_SECONDS

# With TROUBLE=0 in the environment the disruption is left out.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PATHS = [
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
    {
        "name": "r-lookup",
        "path_prefix": "/lookup/",
        "kind": "idempotent",
        "timeout_ms": 1000,
        "goal_ms": 500,
        "priority": 1,
        "service": "bayfinder",
        "attempts": 2,
    },
]
# The work of a charge.
WORK_SECONDS = 0.25
SERVICES = ("payments", "payments", "bayfinder", "bayfinder")
# When the heartbeat that the network holds back arrives, after it was sent.
HELD_SECONDS = 3.0
# How long the backend serves on after its departure was acknowledged.
SERVES_ON_SECONDS = 9.0


async def case(deployment, has_trouble):
    """Play the case; return whether the rule was broken."""
    record = deployment.record
    for machine in deployment.machines[:2]:
        machine.backend.work_seconds = WORK_SECONDS
    leaving = deployment.machines[0]
    loads = [
        asyncio.ensure_future(deployment.load(machine, method, path, 10, 1.2, body))
        for machine in deployment.machines
        for method, path, body in (("PUT", "/charge/7", b"amount=3"), ("GET", "/lookup/7", b""))
    ]
    await asyncio.sleep(3.0)
    backend = leaving.backend
    # The backend sends its last regular heartbeat, which is under way for some seconds, and then
    # leaves; it reports nothing more.
    backend.stop_beats()
    late_beat = backend.next_beat()
    record.add("held-beat", backend=backend.id, sequence=late_beat["sequence"])
    late = asyncio.ensure_future(deliver_late(backend, late_beat))
    await asyncio.sleep(0.3)
    acknowledged = await backend.report("DELETE")
    acknowledged_at = record.now()
    if not acknowledged:
        raise CouldNotRunError("the departure was not acknowledged")
    await asyncio.sleep(0.7)
    if has_trouble:
        leaving.send_signal(signal.SIGKILL)
    await asyncio.sleep(SERVES_ON_SECONDS - 0.7)
    await late
    lost = await end_backend(deployment, backend)
    for load in loads:
        load.cancel()
    late_runs = []
    for run in backend.runs:
        sent = deployment.sent[run["id"]]
        is_late = run["at"] > acknowledged_at + DRAIN_SECONDS
        # The machine that took the request and the one that sent it on were in touch.
        is_in_touch = sent["in_touch"] and (
            not has_trouble
            or (
                leaving.undisturbed_since is not None
                and run["at"] - leaving.undisturbed_since >= CONTACT_SECONDS
            )
        )
        if is_late and is_in_touch:
            late_runs.append(run["at"] - acknowledged_at)
    record.add(
        "result",
        runs_after_drain_ms_in_touch=len(late_runs),
        last_after_s=f"{max(late_runs, default=0):.2f}",
        runs_in_all=len(backend.runs),
        ended_with_the_backend=lost,
    )
    return bool(late_runs)


async def end_backend(deployment, backend):
    """End the backend; return how many requests that it had in work were lost with it."""
    ended_at = deployment.record.now()
    backend.is_up = False
    backend.server.stop()
    await asyncio.sleep(2.0)
    return sum(
        run["at"] > ended_at - backend.work_seconds
        and deployment.answers.get(run["id"]) in (502, 504)
        for run in backend.runs
    )


async def deliver_late(backend, content):
    """Deliver a heartbeat that the network has held back."""
    await asyncio.sleep(HELD_SECONDS)
    await backend.report("PUT", content)


assert HELD_SECONDS > BEAT_SECONDS
run_case(case, 71, SERVICES, PATHS, has_trouble=HAS_TROUBLE)
