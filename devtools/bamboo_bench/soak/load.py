"""Callers of a run, which go on using their connections until a node is gone."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

import aiohttp

from bamboo_bench.soak.machines import DEADLINE_SECONDS, HOST, Machine, answer_body, request_headers
from bamboo_bench.soak.promises import Promises, Request

THINK_SECONDS = 0.03
RETRY_AFTER_MAX_SECONDS = 0.5


@dataclass(slots=True, frozen=True)
class Kind:
    """Describe a kind of request; ``is_once`` work must not run twice."""

    name: str
    service: str
    method: str
    is_once: bool

    @property
    def path(self) -> str:
        """Return the path of its requests."""
        return f"/{self.service}/{self.name}"


KINDS = (
    Kind("read", "menu", "GET", False),
    Kind("charge", "pay", "POST", True),
    Kind("count", "stock", "GET", False),
)


def configuration(version: int) -> dict:
    """Return a configuration with a route for each kind and for the calls between services."""
    paths = [
        {
            "name": f"r-{kind.service}",
            "path_prefix": f"/{kind.service}/",
            "kind": "non_idempotent" if kind.is_once else "idempotent",
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
    """Send requests of random kinds through random machines, one after the other."""

    def __init__(self, machines: list[Machine], promises: Promises, seed: int, clock):
        self._machines = machines
        self._promises = promises
        self._random = random.Random(seed)
        self._clock = clock
        self.count_by_outcome: Counter[str] = Counter()

    async def run(self, stop: asyncio.Event) -> None:
        """Call until told to stop."""
        async with aiohttp.ClientSession() as session:
            while not stop.is_set():
                machine = self._random.choice(self._machines)
                kind = self._random.choice(KINDS)
                await self.call(session, machine, kind)
                await asyncio.sleep(THINK_SECONDS)

    async def call(self, session: aiohttp.ClientSession, machine: Machine, kind: Kind) -> bool:
        """Send one request, check its answer and return whether it was served."""
        request_id = f"{self._random.getrandbits(64):016x}"
        deadline = self._clock() + DEADLINE_SECONDS
        request = Request(kind.service, kind.is_once, kind.path, deadline, machine.is_in_touch)
        self._promises.sent(request_id, request)
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
        self._promises.answered(request_id, answer.status, body, expected)
        self.count_by_outcome[str(answer.status)] += 1
        return answer.status == 200
