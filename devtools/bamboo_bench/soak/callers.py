"""The request kinds, the route configuration and the callers of a soak test.

A caller keeps its connections open until a node closes them.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

import aiohttp

from bamboo_bench.soak.invariants import InvariantChecker, Request
from bamboo_bench.soak.machines import DEADLINE_SECONDS, HOST, Machine, answer_body, request_headers

THINK_SECONDS = 0.03
RETRY_AFTER_MAX_SECONDS = 0.5


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request; one with ``is_at_most_once`` must not run twice."""

    name: str
    service: str
    method: str
    is_at_most_once: bool

    @property
    def path(self) -> str:
        """Return the path of requests of this kind."""
        return f"/{self.service}/{self.name}"


KINDS = (
    Kind("read", "menu", "GET", False),
    Kind("charge", "pay", "POST", True),
    Kind("count", "stock", "GET", False),
)


def configuration(version: int) -> dict:
    """Return a configuration with one route for each service."""
    paths = [
        {
            "name": f"r-{kind.service}",
            "path_prefix": f"/{kind.service}/",
            "kind": "non_idempotent" if kind.is_at_most_once else "idempotent",
            "timeout_ms": int(DEADLINE_SECONDS * 1000),
            "goal_ms": 300,
            "priority": rank,
            "service": kind.service,
            "attempts": 2,
        }
        for rank, kind in enumerate(KINDS)
    ]
    return {"version": version, "vhosts": [{"host": HOST, "paths": paths}]}


class Caller:
    """A caller that sends requests of random kinds to random machines, one at a time."""

    def __init__(self, machines: list[Machine], checker: InvariantChecker, seed: int, clock):
        self._machines = machines
        self._checker = checker
        self._random = random.Random(seed)
        self._clock = clock
        self.count_by_outcome: Counter[str] = Counter()

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests until ``stop`` is set."""
        async with aiohttp.ClientSession() as session:
            while not stop.is_set():
                machine = self._random.choice(self._machines)
                kind = self._random.choice(KINDS)
                await self.call(session, machine, kind)
                await asyncio.sleep(THINK_SECONDS)

    async def call(self, session: aiohttp.ClientSession, machine: Machine, kind: Kind) -> bool:
        """Send one request, check its answer and return whether its status was 200."""
        request_id = f"{self._random.getrandbits(64):016x}"
        deadline = self._clock() + DEADLINE_SECONDS
        request = Request(
            kind.service, kind.is_at_most_once, kind.path, deadline, machine.is_undisturbed
        )
        self._checker.record_request(request_id, request)
        url = f"http://{machine.caller_address}{kind.path}"
        headers = request_headers(request_id, DEADLINE_SECONDS)
        try:
            async with asyncio.timeout(DEADLINE_SECONDS):
                async with session.request(kind.method, url, headers=headers) as answer:
                    body = await answer.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            self.count_by_outcome[type(error).__name__] += 1
            return False
        has_stamp = "Bamboojunction-Server-Stamp" in answer.headers
        expected = answer_body(request_id, kind.path) if has_stamp else None
        self._checker.check_answer(request_id, answer.status, body, expected)
        self.count_by_outcome[str(answer.status)] += 1
        return answer.status == 200
