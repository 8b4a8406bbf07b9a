"""The clients of a replay and the records of their requests."""

import asyncio
import itertools
from dataclasses import dataclass
from enum import StrEnum

from bamboo_bench.replay.fleet import ReplayFleet, request_for
from bamboo_bench.replay.pattern import KindPattern, Pattern
from bamboojunction.core.http_messages import HttpResponse

CLIENT_DELAY_SECONDS = 0.003
# Clients honour a Retry-After up to this share of the time that they have left.
RETRY_AFTER_SHARE_MAX = 1 / 3
REFUSED_STATUS = 503


class Result(StrEnum):
    """How a request ended for its client."""

    IN_TIME = "in-time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class RequestRecord:
    """A request with all of its tries; times are in seconds since the start of the replay.

    ``refused_after`` is how long the client waited for its last refusal, None if it got none.
    """

    kind: str
    rank: int
    data_centre: str
    arrived_at: float
    result: Result = Result.FAILED
    tries: int = 0
    seconds: float = 0.0
    refused_after: float | None = None


class Clients:
    """Clients that send requests at random times to random nodes, independent of the answers."""

    def __init__(self, fleet: ReplayFleet):
        self._fleet = fleet
        self._pattern: Pattern = fleet.pattern
        self._nodes = list(fleet.node_by_instance.values())
        self._request_ids = itertools.count(1)
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._tasks: set[asyncio.Task] = set()
        self.records: list[RequestRecord] = []

    async def run(self) -> None:
        """Send requests for the time of the pattern, and wait for the last answers."""
        async with asyncio.TaskGroup() as group:
            for kind in self._pattern.kinds:
                if kind.rate:
                    group.create_task(self._send_requests(kind))
        await asyncio.gather(*self._tasks)

    async def _send_requests(self, kind: KindPattern) -> None:
        rng = self._fleet.random
        while True:
            factor = self._fleet.conditions.factor_by_kind.get(kind.name, 1.0)
            await asyncio.sleep(rng.expovariate(kind.rate * factor))
            if self._loop.time() - self._started_at >= self._pattern.seconds:
                return
            task = self._loop.create_task(self._send(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, kind: KindPattern) -> None:
        node = self._fleet.random.choice(self._nodes)
        started_at = self._loop.time()
        record = RequestRecord(
            kind.name, kind.rank, node.data_centre, started_at - self._started_at
        )
        self.records.append(record)
        deadline = started_at + kind.deadline_ms / 1000
        for attempt in range(1 + self._pattern.client_retries):
            record.tries += 1
            tried_at = self._loop.time()
            response = await self._try(kind, node, deadline)
            now = self._loop.time()
            record.result = self._result(response, now - started_at, kind)
            if record.result is Result.REFUSED:
                record.refused_after = now - tried_at
            delay = self._retry_delay(kind, response, deadline - now)
            if delay is None or attempt == self._pattern.client_retries:
                break
            await asyncio.sleep(delay)
            node = self._fleet.random.choice(self._nodes)
        record.seconds = self._loop.time() - started_at

    async def _try(self, kind: KindPattern, node, deadline: float) -> HttpResponse | None:
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(CLIENT_DELAY_SECONDS)
                now = self._loop.time()
                request_id = f"r{next(self._request_ids)}"
                self._fleet.arrivals.record_request(kind.service, now)
                request = request_for(kind.name, request_id, deadline - now, now)
                response = await node.app.handle(request)
                await asyncio.sleep(CLIENT_DELAY_SECONDS)
        except TimeoutError:
            return None
        return response

    @staticmethod
    def _result(response: HttpResponse | None, seconds: float, kind: KindPattern) -> Result:
        if response is None:
            return Result.FAILED
        if response.status == REFUSED_STATUS:
            return Result.REFUSED
        if response.status != 200:
            return Result.FAILED
        return Result.IN_TIME if seconds <= kind.goal_ms / 1000 else Result.LATE

    @staticmethod
    def _retry_delay(
        kind: KindPattern, response: HttpResponse | None, remaining: float
    ) -> float | None:
        """Return the seconds until the client tries again, or None if it does not."""
        if response is None or response.status == 200:
            return None
        if response.status == REFUSED_STATUS:
            retry_after = float(dict(response.headers).get("retry-after", "0"))
            return min(retry_after, max(0.0, remaining * RETRY_AFTER_SHARE_MAX))
        return 0.0 if kind.idempotent else None
