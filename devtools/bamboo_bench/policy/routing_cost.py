"""Time of one routing decision, by the number of services and upstreams."""

import random
import statistics
import time
from dataclasses import dataclass

from bamboojunction.core.load_reports import LoadReport
from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.outcomes import Ran
from bamboojunction.core.routing.router import AttemptResult, Router, RouteRequest

DATA_CENTRE_COUNT = 5
KIND_COUNT = 8
DECISION_COUNT = 20_000
# Number of services, and of upstreams in total. The specified fleet has 170 services and 950
# upstreams; the other sizes put all upstreams in one service.
FLEET_SIZES = ((1, 4), (1, 16), (1, 64), (1, 256), (1, 950), (170, 950))


@dataclass(slots=True, frozen=True)
class RoutingCost:
    """The median times to choose an instance and to process the end of an attempt."""

    service_count: int
    upstream_count: int
    choose_microseconds: float
    ended_microseconds: float


def router_cost_lines() -> list[str]:
    """Measure each fleet size and return a line of text for it."""
    costs = [
        measure_router(service_count, upstream_count, 1)
        for service_count, upstream_count in FLEET_SIZES
    ]
    return [
        f"router {cost.service_count:>4} services {cost.upstream_count:>4} upstreams"
        f"  choose {cost.choose_microseconds:>6.1f} us  ended {cost.ended_microseconds:>6.1f} us"
        for cost in costs
    ]


def measure_router(service_count: int, upstream_count: int, seed: int) -> RoutingCost:
    """Measure a router of a fleet of this size, after a warm-up with as many decisions."""
    rng = random.Random(seed)
    router = Router("centre-0", "region-0", random.Random(seed))
    services = [f"service-{number}" for number in range(service_count)]
    for service_index, service in enumerate(services):
        router.update_instances(
            service, _announcements(service, service_index, service_count, upstream_count)
        )
    requests = [_request(rng.choice(services), rng) for _ in range(DECISION_COUNT)]
    reports = [LoadReport(rng.randrange(4), rng.randrange(60), 60) for _ in range(256)]
    for number, request in enumerate(requests):
        _run_attempt(router, request, reports[number % len(reports)], number / 1000)
    choose_seconds, ended_seconds = [], []
    start = DECISION_COUNT / 1000
    for number, request in enumerate(requests):
        now = start + number / 1000
        started_at = time.perf_counter()
        choice = router.choose(request, now)
        choose_seconds.append(time.perf_counter() - started_at)
        router.record_sent(choice.instance, request.kind, now)
        end = _attempt_end(choice.instance, request.kind, reports[number % len(reports)])
        started_at = time.perf_counter()
        router.record_result(end, now)
        ended_seconds.append(time.perf_counter() - started_at)
    medians = [statistics.median(times) * 1e6 for times in (choose_seconds, ended_seconds)]
    return RoutingCost(service_count, upstream_count, *medians)


def _announcements(
    service: str, service_index: int, service_count: int, upstream_count: int
) -> list[Announcement]:
    return [
        Announcement(
            instance=f"{service}-{number}",
            incarnation="1",
            service=service,
            data_centre=f"centre-{number % DATA_CENTRE_COUNT}",
            region=f"region-{number % DATA_CENTRE_COUNT // 3}",
            address="127.0.0.1:1",
            started_at=0.0,
        )
        for number in range(upstream_count)
        if number % service_count == service_index
    ]


def _request(service: str, rng: random.Random) -> RouteRequest:
    return RouteRequest(service, f"kind-{rng.randrange(KIND_COUNT)}", 1, "action", 1e9, depth=1)


def _attempt_end(instance: str, kind: str, report: LoadReport) -> AttemptResult:
    return AttemptResult(instance, kind, Ran(200), report, 0.05, 0.052)


def _run_attempt(router: Router, request: RouteRequest, report: LoadReport, now: float) -> None:
    instance = router.choose(request, now).instance
    router.record_sent(instance, request.kind, now)
    router.record_result(_attempt_end(instance, request.kind, report), now)
