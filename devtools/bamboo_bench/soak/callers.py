"""The request kinds, the route configuration and the callers of a soak test.

A caller keeps its connections open until a node closes them, and waits for an answer beyond its
deadline.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

import aiohttp

from bamboo_bench.soak.exchange import create_session, send
from bamboo_bench.soak.invariants import EndKind, InvariantChecker, Request
from bamboo_bench.soak.machines import Machine
from bamboo_bench.soak.shapes import Shape
from bamboo_bench.soak.upstreams import HOST, answer_body, request_headers

THINK_SECONDS = 0.03
ATTEMPTS = 2


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


def configuration(version: int, deadline_seconds: float) -> dict:
    """Return a configuration with one route for each service."""
    paths = [
        {
            "name": f"r-{kind.service}",
            "path_prefix": f"/{kind.service}/",
            "kind": "non_idempotent" if kind.is_at_most_once else "idempotent",
            "timeout_ms": int(deadline_seconds * 1000),
            "goal_ms": 300,
            "priority": rank,
            "service": kind.service,
            "attempts": ATTEMPTS,
        }
        for rank, kind in enumerate(KINDS)
    ]
    return {"version": version, "vhosts": [{"host": HOST, "paths": paths}]}


class Caller:
    """A caller that sends requests of random kinds to random machines, one at a time."""

    def __init__(
        self, machines: list[Machine], checker: InvariantChecker, shape: Shape, seed: int, clock
    ):
        self._machines = machines
        self._shape = shape
        self._checker = checker
        self._random = random.Random(seed)
        self._clock = clock
        self.count_by_outcome: Counter[str] = Counter()

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests until ``stop`` is set."""
        async with create_session() as session:
            while not stop.is_set():
                machine = self._random.choice(self._machines)
                kind = self._random.choice(KINDS)
                await self.call(session, machine, kind)
                await asyncio.sleep(THINK_SECONDS)

    async def call(
        self, session: aiohttp.ClientSession, machine: Machine, kind: Kind, suffix: str = ""
    ) -> bool:
        """Send one request, check its answer and return whether its status was 200.

        ``suffix`` is appended to the path of the kind.
        """
        request_id = f"{self._random.getrandbits(64):016x}"
        path = kind.path + suffix
        seconds = self._shape.deadline_seconds
        sent_at = self._clock()
        request = Request(
            kind.service,
            kind.is_at_most_once,
            path,
            sent_at + seconds,
            machine.name,
            sent_at,
            timeout_at=sent_at + seconds,
            attempts=ATTEMPTS,
        )
        self._checker.record_request(request_id, request)
        self._checker.record_sent(kind.service, sent_at)
        url = f"http://{machine.caller_address}{path}"
        headers = request_headers(request_id, seconds)
        exchange = await send(session, kind.method, url, headers, seconds, self._clock)
        ending = exchange.ending
        self._checker.record_ending(request_id, ending)
        if ending.kind is not EndKind.WHOLE:
            self.count_by_outcome[ending.kind] += 1
            return False
        expected = answer_body(request_id, path) if ending.has_stamp else None
        self._checker.check_answer(request_id, ending.status, exchange.body, expected)
        self.count_by_outcome[str(ending.status)] += 1
        return ending.status == 200
