"""A request that crashes each backend that runs it is sent to one backend after the other."""

import asyncio
import os

from harness.deployment import run_case
from harness.machines import CONTACT_SECONDS

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
    {
        "name": "r-reserve",
        "path_prefix": "/reserve/",
        "kind": "non_idempotent",
        "timeout_ms": 1200,
        "goal_ms": 300,
        "priority": 1,
        "service": "bayfinder",
        "attempts": 2,
    },
]
SERVICES = ("bayfinder", "bayfinder", "bayfinder", "bayfinder", "payments", "payments")
POISON = "/lookup/crash"
POISON_COUNT = 12
POISON_GAP_SECONDS = 1.5
BACK_AFTER_SECONDS = 3.0
# The rule allows this many retries once the third crash is known.
RETRIES_MAX = 3


async def case(deployment, has_trouble):
    """Play the case; return whether the rule was broken."""
    record = deployment.record
    crashes = []
    restarts = []

    def install(backend):
        async def behave(request, connection):
            if request.target == POISON:
                await asyncio.sleep(0.02)
                if backend.is_up:
                    crashes.append(record.now())
                    restarts.append(asyncio.ensure_future(backend.crash(BACK_AFTER_SECONDS)))
                return False
            await asyncio.sleep(backend.work_seconds)
            return True

        backend.behave = behave

    for machine in deployment.machines:
        install(machine.backend)
    loads = [
        asyncio.ensure_future(deployment.load(machine, method, path, rate, 3.0, body))
        for machine in deployment.machines
        for method, path, body, rate in (
            ("GET", "/lookup/7", b"", 10),
            ("POST", "/reserve/7", b"bay=3", 4),
        )
    ]
    await asyncio.sleep(2.0)
    sender = deployment.machines[4]
    poisons = []
    for _ in range(POISON_COUNT):
        if has_trouble:
            poisons.append(
                asyncio.ensure_future(deployment.call(sender, "GET", POISON, 3.0, label="poison"))
            )
        await asyncio.sleep(POISON_GAP_SECONDS)
    await asyncio.gather(*poisons)
    for load in loads:
        load.cancel()
    crashes.sort()
    known_at = crashes[2] + CONTACT_SECONDS if len(crashes) >= 3 else float("inf")
    arrivals = [run for run in deployment.runs() if run["target"] == POISON]
    seen = set()
    repeats = []
    late_arrivals = []
    for run in arrivals:
        is_repeat = run["id"] in seen
        seen.add(run["id"])
        if run["at"] > known_at and deployment.sent[run["id"]]["in_touch"]:
            late_arrivals.append(run)
            if is_repeat:
                repeats.append(run)
    lost = [
        request_id
        for request_id, sent in deployment.sent.items()
        if sent["target"] == "/reserve/7" and deployment.answers.get(request_id) in (502, 504)
    ]
    record.add(
        "result",
        crashes=len(crashes),
        poison_arrivals=len(arrivals),
        arrivals_after_third_crash_and_contact=len(late_arrivals),
        of_these_repeats_of_one_attempt=len(repeats),
        most_backends_for_one_attempt=max(
            (sum(run["id"] == name for run in arrivals) for name in seen), default=0
        ),
        other_requests_ended_502_or_504=len(lost),
    )
    # Only what the system itself sent once more counts as a retry here.
    return len(repeats) > RETRIES_MAX


run_case(case, 72, SERVICES, PATHS, has_trouble=HAS_TROUBLE)
