"""The callers of a soak test.

A caller keeps its connections open until a node closes them, and waits for an answer beyond its
deadline.
"""

import asyncio
import random
from collections import Counter

import aiohttp

from bamboo_bench.soak.exchange import Exchange, create_session, send, unless_left
from bamboo_bench.soak.invariants import EndKind, InvariantChecker, Request
from bamboo_bench.soak.machines import Machine
from bamboo_bench.soak.runs import request_headers
from bamboo_bench.soak.shapes import Shape
from bamboo_bench.soak.sites import TIMEOUT_SHARE, Kind
from bamboo_bench.soak.upstreams import answer_body

THINK_SECONDS = 0.03


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
                kind = self._random.choice(self._shape.mesh.kinds)
                await self.call(session, machine, kind)
                await asyncio.sleep(THINK_SECONDS)

    async def call(
        self, session: aiohttp.ClientSession, machine: Machine, kind: Kind, suffix: str = ""
    ) -> bool:
        """Send one request, check its answer and return whether its status was 200.

        ``suffix`` is appended to the path of the kind.
        """
        ending = (await self.send(session, machine, kind, suffix)).ending
        return ending.kind is EndKind.WHOLE and ending.status == 200

    async def send(
        self, session: aiohttp.ClientSession, machine: Machine, kind: Kind, suffix: str = ""
    ) -> Exchange:
        """Send one request, check its answer and return what came of it."""
        request_id = f"{self._random.getrandbits(64):016x}"
        path = kind.path + suffix
        seconds = kind.deadline_seconds or self._shape.deadline_seconds
        sent_at = self._clock()
        request = Request(
            kind.service,
            kind.is_at_most_once,
            path,
            sent_at + seconds,
            machine.name,
            sent_at,
            timeout_at=sent_at + (kind.deadline_seconds * TIMEOUT_SHARE or seconds),
            attempts=kind.attempts,
        )
        self._checker.record_request(request_id, request)
        self._checker.record_sent(kind.service, sent_at)
        url = f"http://{machine.caller_address}{path}"
        headers = request_headers(request_id, seconds)
        sent_body = kind.body(request_id)
        sent = send(session, kind.method, url, headers, seconds, self._clock, sent_body)
        exchange = await unless_left(request, sent)
        ending = exchange.ending
        self._checker.record_ending(request_id, ending)
        if ending.kind is not EndKind.WHOLE:
            self.count_by_outcome[ending.kind] += 1
            return exchange
        expected = answer_body(request_id, path) if ending.has_stamp else None
        self._checker.check_answer(request_id, ending.status, exchange.body, expected)
        self.count_by_outcome[str(ending.status)] += 1
        return exchange
