"""The runs of requests in an upstream of a soak test: their work, their slots and their calls."""

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp

from bamboo_bench.soak.exchange import send, unless_left
from bamboo_bench.soak.invariants import EndKind, InvariantChecker, Request, Run
from bamboo_bench.soak.shapes import Shape
from bamboo_bench.soak.sites import HOST, TAIL_FACTORS, TAIL_PERIOD, TIMEOUT_SHARE, Kind

# An upstream refuses a request when it holds this many times as many as it has slots.
QUEUE_FACTOR = 3
# The share of the requests that an upstream with the fault fails.
FAILING_SHARE = 0.5
CHILD_SUFFIX = "/inner"
# The service that each service of the small mesh calls while it runs a request.
CALLEE_BY_SERVICE = {"pay": "stock"}


class Runs:
    """The requests that an upstream holds, of which as many run as it has slots.

    ``caller_address`` is where they call other services, ``machine`` the name of their machine.
    """

    def __init__(
        self,
        service: str,
        seed: str,
        checker: InvariantChecker,
        shape: Shape,
        clock: Callable[[], float],
    ):
        self.caller_address = ""
        self.machine = ""
        self.slow_seconds = 0.0
        self.fails_some = False
        self.service = service
        self.slot_count = shape.mesh.slots_by_service[service]
        self._slots = asyncio.Semaphore(self.slot_count)
        self._held_count = 0
        self._shape = shape
        self._checker = checker
        self._clock = clock
        self._seed = seed
        self._random = random.Random(seed)
        self._child_numbers = itertools.count(1)

    def of_service(self, service: str) -> "Runs":
        """Return the runs of the next upstream on this machine, of another service."""
        runs = Runs(service, self._seed, self._checker, self._shape, self._clock)
        runs.caller_address, runs.machine = self.caller_address, self.machine
        return runs

    @property
    def is_full(self) -> bool:
        """Return whether a further request is refused."""
        is_bounded = self._shape.mesh.has_own_times
        return is_bounded and self._held_count >= QUEUE_FACTOR * self.slot_count

    @property
    def load(self) -> str:
        """Return the number of running and of waiting requests and of slots, for a header."""
        running = min(self._held_count, self.slot_count)
        return f"{running},{self._held_count - running},{self.slot_count}"

    def identify(self, path: str, request_id: str, body: bytes) -> tuple[str, str]:
        """Return the service and the path of a request that is to run, for the checker.

        The service is that of the request's kind if it may run here; the path tells of a body that
        is not the one that was sent.
        """
        if not self._shape.mesh.has_own_times:
            return self.service, path
        kind = self._shape.mesh.kind_of(path)
        service = kind.service if self.service in kind.services else self.service
        return service, path if body == kind.body(request_id) else f"{path} with another body"

    async def run(
        self,
        session: aiohttp.ClientSession,
        path: str,
        request_id: str,
        run: Run,
        remaining: float | None,
    ) -> int:
        """Run a request until its time is over, and return the status to answer with."""
        seconds = self._shape.deadline_seconds if remaining is None else remaining
        caller = _RunningRequest(session, request_id, run, self._clock() + seconds)
        self._held_count += 1
        try:
            if not self._shape.mesh.has_own_times:
                return await self._run_small(caller, path)
            async with asyncio.timeout(seconds), self._slots:
                return await self._run_kind(caller, path)
        except TimeoutError:
            return 504
        finally:
            self._held_count -= 1

    async def _run_kind(self, caller: "_RunningRequest", path: str) -> int:
        mesh = self._shape.mesh
        kind = mesh.kind_of(path)
        for called in mesh.kinds_called_by(kind):
            timeout = called.deadline_seconds * TIMEOUT_SHARE
            if not await self._call(
                caller, called.service, called.path, called.deadline_seconds, timeout
            ):
                return 500
        await asyncio.sleep(self._draw_seconds(kind) + self.slow_seconds)
        return 500 if self.fails_some and self._random.random() < FAILING_SHARE else 200

    def _draw_seconds(self, kind: Kind) -> float:
        """Return the work of a request, which is several times as long for a few."""
        if self._random.randrange(TAIL_PERIOD) == 0:
            return kind.work_seconds * self._random.uniform(*TAIL_FACTORS)
        return kind.work_seconds * self._random.uniform(0.7, 1.3)

    async def _run_small(self, caller: "_RunningRequest", path: str) -> int:
        """Run a request of the small mesh, where a call of another one has the shortest work."""
        shape = self._shape
        is_served = True
        if callee := CALLEE_BY_SERVICE.get(self.service):
            times = (shape.deadline_seconds, shape.deadline_seconds)
            is_served = await self._call(caller, callee, f"/{callee}{CHILD_SUFFIX}", *times)
        seconds = shape.work_seconds_min
        if not path.endswith(CHILD_SUFFIX):
            seconds = self._random.uniform(shape.work_seconds_min, shape.work_seconds_max)
        await asyncio.sleep(seconds + self.slow_seconds)
        return 200 if is_served else 500

    async def _call(
        self,
        caller: "_RunningRequest",
        service: str,
        path: str,
        deadline_seconds: float,
        timeout_seconds: float,
    ) -> bool:
        """Call a service through the node of this machine, and return whether it was served."""
        request_id = f"{caller.request_id}.{next(self._child_numbers)}"
        now = self._clock()
        seconds = max(0.0, min(deadline_seconds, caller.ends_at - now))
        call = Request(
            service,
            False,
            path,
            now + seconds,
            self.machine,
            now,
            timeout_at=now + timeout_seconds,
            parent=caller.run,
        )
        self._checker.record_request(request_id, call)
        headers = request_headers(request_id, seconds)
        url = f"http://{self.caller_address}{path}"
        sent = send(caller.session, "GET", url, headers, seconds, self._clock)
        exchange = await unless_left(call, sent)
        self._checker.record_ending(request_id, exchange.ending)
        return exchange.ending.kind is EndKind.WHOLE and exchange.ending.status == 200


@dataclass(slots=True, frozen=True)
class _RunningRequest:
    """A request that runs until a time on the clock, and sends its calls over a session."""

    session: aiohttp.ClientSession
    request_id: str
    run: Run
    ends_at: float


def request_headers(request_id: str, remaining: float) -> dict[str, str]:
    """Return the headers of a request that has ``remaining`` seconds left."""
    return {
        "Host": HOST,
        "Bamboojunction-Request-Id": request_id,
        "Bamboojunction-Deadline-Ms": str(int(remaining * 1000)),
    }
