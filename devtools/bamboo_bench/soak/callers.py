"""The callers of a soak test.

A caller keeps its connections open until a node closes them.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

import aiohttp

from bamboo_bench.soak.invariants import InvariantChecker, Request
from bamboo_bench.soak.machines import Machine
from bamboo_bench.soak.runs import request_headers
from bamboo_bench.soak.shapes import Shape
from bamboo_bench.soak.sites import Kind
from bamboo_bench.soak.upstreams import answer_body

THINK_SECONDS = 0.03
BAD_GATEWAY_STATUS = 502


@dataclass(slots=True, frozen=True)
class Outcome:
    """What came of a request: its status, 0 without an answer, and how long to wait before more."""

    status: int
    retry_after_seconds: float = 0.0


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
        async with aiohttp.ClientSession() as session:
            # Without this, the client would send a read once more by itself, under the same id.
            session._retry_connection = False
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
        return (await self.send(session, machine, kind, suffix)).status == 200

    async def send(
        self, session: aiohttp.ClientSession, machine: Machine, kind: Kind, suffix: str = ""
    ) -> Outcome:
        """Send one request, check its answer and return what came of it."""
        request_id = f"{self._random.getrandbits(64):016x}"
        path = kind.path + suffix
        seconds = kind.deadline_seconds or self._shape.deadline_seconds
        sent_at = self._clock()
        request = Request(
            kind.service, kind.is_at_most_once, path, sent_at + seconds, machine.is_undisturbed
        )
        self._checker.record_request(request_id, request)
        self._checker.record_sent(kind.service, sent_at)
        url = f"http://{machine.caller_address}{path}"
        headers = request_headers(request_id, seconds)
        sent_body = kind.body(request_id) or None
        try:
            async with asyncio.timeout(seconds):
                async with session.request(
                    kind.method, url, headers=headers, data=sent_body
                ) as answer:
                    body = await answer.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            self.count_by_outcome[type(error).__name__] += 1
            if not isinstance(error, TimeoutError):
                self._check_end(request_id, type(error).__name__, sent_at, machine)
            return Outcome(0)
        if answer.status == BAD_GATEWAY_STATUS:
            self._check_end(request_id, str(answer.status), sent_at, machine)
        has_stamp = "Bamboojunction-Server-Stamp" in answer.headers
        expected = answer_body(request_id, path) if has_stamp else None
        self._checker.check_answer(request_id, answer.status, body, expected)
        self.count_by_outcome[str(answer.status)] += 1
        return Outcome(answer.status, float(answer.headers.get("Retry-After", "0")))

    def _check_end(self, request_id: str, outcome: str, sent_at: float, machine: Machine) -> None:
        """Check a request without an answer of an upstream, where all faults are planned work."""
        if self._shape.is_planned_work:
            self._checker.check_cut(
                request_id, outcome, sent_at, self._clock(), machine.stop_began_at
            )
