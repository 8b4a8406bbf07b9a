"""Runs replays under a paused clock."""

import asyncio
from dataclasses import dataclass

from bamboo_bench.replay.arrivals import BusiestWindow
from bamboo_bench.replay.clients import Clients, RequestRecord
from bamboo_bench.replay.figures import ReplayFigures
from bamboo_bench.replay.fleet import ReplayFleet
from bamboo_bench.replay.pattern import Change, Pattern
from bamboo_standins.paused_clock import run_with_paused_clock


@dataclass(slots=True)
class ReplayResult:
    """The records of the requests of one replay, and the figures computed from them.

    ``busiest_windows`` holds, by service, the window whose repeats exceed the fleet's limit most.
    """

    records: list[RequestRecord]
    figures: ReplayFigures
    busiest_windows: dict[str, BusiestWindow]


def replay(pattern: Pattern, seed: int) -> ReplayResult:
    """Replay a pattern once."""
    return run_with_paused_clock(_replay(pattern, seed))


async def _replay(pattern: Pattern, seed: int) -> ReplayResult:
    fleet = ReplayFleet(pattern, seed)
    clients = Clients(fleet)
    changes = [asyncio.create_task(_apply(fleet, change)) for change in pattern.changes]
    try:
        await clients.run()
    finally:
        for task in changes:
            task.cancel()
        fleet.close()
    retry_limit = pattern.retry_limit
    return ReplayResult(
        clients.records,
        ReplayFigures.of_replay(fleet, clients.records),
        {
            service.name: fleet.arrivals.busiest_window(service.name, retry_limit)
            for service in pattern.services
        },
    )


async def _apply(fleet: ReplayFleet, change: Change) -> None:
    await asyncio.sleep(change.at)
    fleet.conditions.begin(change, fleet.instances_by_service)
    await asyncio.sleep(change.seconds)
    fleet.conditions.end(change, fleet.instances_by_service)
