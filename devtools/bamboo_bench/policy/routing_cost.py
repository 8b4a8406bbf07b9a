"""The router's time for a decision, against the number of upstreams and services."""

import random
import statistics
import time
from dataclasses import dataclass

from bamboojunction.core.load import LoadReport
from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.outcomes import Ran
from bamboojunction.core.routing.router import AttemptEnd, Router, RouteRequest

DATA_CENTRES = 5
KINDS = 8
DECISIONS = 20_000
# The fleet of the letter: services and upstreams in all; and one service with every upstream.
SIZES = ((1, 4), (1, 16), (1, 64), (1, 256), (1, 950), (170, 950))


@dataclass(slots=True, frozen=True)
class RoutingCost:
    """Hold the median time of one decision in microseconds."""

    services: int
    upstreams: int
    choose_microseconds: float
    ended_microseconds: float


def router_cost_lines() -> list[str]:
    """Return a line for each size."""
    costs = [measure(services, upstreams, 1) for services, upstreams in SIZES]
    return [
        f"router {cost.services:>4} services {cost.upstreams:>4} upstreams"
        f"  choose {cost.choose_microseconds:>6.1f} us  ended {cost.ended_microseconds:>6.1f} us"
        for cost in costs
    ]


def measure(services: int, upstreams: int, seed: int) -> RoutingCost:
    """Measure a router that knows so many services and upstreams, all with some past."""
    rng = random.Random(seed)
    router = Router("centre-0", "region-0", random.Random(seed))
    names = [f"service-{number}" for number in range(services)]
    for index, service in enumerate(names):
        router.update(service, _announcements(service, index, services, upstreams))
    requests = [_request(rng.choice(names), rng) for _ in range(DECISIONS)]
    reports = [LoadReport(rng.randrange(4), rng.randrange(60), 60) for _ in range(256)]
    for number, request in enumerate(requests):
        _run(router, request, reports[number % len(reports)], number / 1000)
    choosing, ending = [], []
    start = DECISIONS / 1000
    for number, request in enumerate(requests):
        now = start + number / 1000
        began = time.perf_counter()
        chosen = router.choose(request, now)
        choosing.append(time.perf_counter() - began)
        router.sent(chosen.instance, request.kind, now)
        end = _end(chosen.instance, request.kind, reports[number % len(reports)])
        began = time.perf_counter()
        router.ended(end, now)
        ending.append(time.perf_counter() - began)
    medians = [statistics.median(times) * 1e6 for times in (choosing, ending)]
    return RoutingCost(services, upstreams, *medians)


def _announcements(service: str, index: int, services: int, upstreams: int) -> list[Announcement]:
    return [
        Announcement(
            instance=f"{service}-{number}",
            incarnation="1",
            service=service,
            data_centre=f"centre-{number % DATA_CENTRES}",
            region=f"region-{number % DATA_CENTRES // 3}",
            address="127.0.0.1:1",
            started_at=0.0,
        )
        for number in range(upstreams)
        if number % services == index
    ]


def _request(service: str, rng: random.Random) -> RouteRequest:
    return RouteRequest(service, f"kind-{rng.randrange(KINDS)}", 1, "action", 1e9, depth=1)


def _end(instance: str, kind: str, report: LoadReport) -> AttemptEnd:
    return AttemptEnd(instance, kind, Ran(200), report, 0.05, 0.052)


def _run(router: Router, request: RouteRequest, report: LoadReport, now: float) -> None:
    instance = router.choose(request, now).instance
    router.sent(instance, request.kind, now)
    router.ended(_end(instance, request.kind, report), now)
