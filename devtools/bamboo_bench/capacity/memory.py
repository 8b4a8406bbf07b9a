"""Memory of the membership view, the router and the table, from traced allocations."""

import gc
import random
import tracemalloc
from collections.abc import Callable

from bamboo_bench.capacity.slopes import Point, Slope
from bamboojunction.core.membership.view import Announcement, MembershipView
from bamboojunction.core.routing.router import Router
from bamboojunction.core.table.csvfile import parse_table

COMMAND = "bamboo-bench capacity --part memory"
TARGET_NODES = 950
SERVICES = 170
DATA_CENTRES = 5
TARGET_ROWS = 400
TABLE_HEADER = "kind,rank,weight,effect,deadline_ms,retries,slots_max,services"


def measure() -> list[Slope]:
    """Return the slopes of the view with its router, and of the table."""
    node_counts = (50, 200, 500, 950)
    view = tuple(
        Point(size, _retained_kilobytes(lambda size=size: _build_view(size)))
        for size in node_counts
    )
    row_counts = (10, 50, 100, 200, TARGET_ROWS)
    table = tuple(
        Point(size, _retained_kilobytes(lambda size=size: _build_table(size)))
        for size in row_counts
    )
    return [
        Slope("view and router", "kB", "known node", view, TARGET_NODES, None, COMMAND),
        Slope("table", "kB", "row", table, TARGET_ROWS, None, COMMAND),
    ]


def announcements(count: int) -> list[Announcement]:
    """Return announcements like those of a deployment of the target size."""
    return [
        Announcement(
            instance=f"service-{number % SERVICES}-{number}",
            incarnation=f"{random.Random(number).getrandbits(48):012x}",
            service=f"service-{number % SERVICES}",
            data_centre=f"data-centre-{number % DATA_CENTRES}",
            region=f"region-{number % 2}",
            address=f"10.{number % DATA_CENTRES}.{number // 250}.{number % 250}:7101",
            started_at=1_700_000_000.0 + number,
        )
        for number in range(count)
    ]


def _build_view(count: int):
    view = MembershipView()
    router = Router("data-centre-0", "region-0", random.Random(1))
    for announcement in announcements(count):
        view.merge(announcement)
    for service in view.pop_changed_services():
        router.update_instances(service, view.serving(service))
    return view, router


def _build_table(count: int):
    lines = [
        f"kind-{number},{number % 5 + 1},10,idempotent,2000,2,0,service-{number}"
        for number in range(count)
    ]
    return parse_table("\n".join([TABLE_HEADER, *lines]), 1, "edit").unwrap()


def _retained_kilobytes(build: Callable[[], object]) -> float:
    """Return the allocations that a built object retains, in kilobytes."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return (after - before) / 1000
