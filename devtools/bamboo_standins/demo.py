"""The demonstration of ``make demo``: Cycle Bays on loopback, with faults and checks of each claim.

It exits with 0 when every condition held and with 1 when one was broken.
"""

import asyncio
import contextlib
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from bamboo_standins.deployments import CYCLE_BAYS
from bamboo_standins.example import read_example_table, start_example
from bamboo_standins.fleet import Fleet
from bamboo_standins.ledger import LedgerAudit
from bamboo_standins.upstream import INSTANCE_HEADER
from bamboojunction.core.table.csvfile import parse_table
from bamboojunction.core.table.rows import Table
from bamboojunction.management.load.client import CallClient, CallResult, Ending
from bamboojunction.management.load.plan import CallPlan, KindShare, Pace
from bamboojunction.management.load.runner import LoadRunner
from bamboojunction.management.load.summary import Summary

EDGE_NODES = ("bayfinder-1", "reservations-2", "lockerlog-3")
BROKEN_UPSTREAM = "reservations-1"
SHARES = (
    KindShare("bay-reservation", 3),
    KindShare("bay-search", 5),
    KindShare("locker-history", 2),
    KindShare("occupancy-summary", 1),
)
CALLS_PER_EDGE = 120
CALLS_A_SECOND = 60.0
BREAK_AFTER_SECONDS = 0.5
RECOVERY_SECONDS_MAX = 20.0
RETRY_PAUSE_SECONDS = 0.1
RESERVE_KIND = "bay-reservation"
CHARGE_KIND = "card-charge"


@dataclass(slots=True)
class Account:
    """Print what happens and remember which conditions were broken."""

    broken: list[str] = field(default_factory=list)

    def say(self, text: str = "") -> None:
        """Print a line."""
        print(text, flush=True)

    def require(self, condition: str, holds: bool, detail: str = "") -> None:
        """Print whether a condition held."""
        self.say(f"  {'held  ' if holds else 'BROKEN'}  {condition}{detail and f': {detail}'}")
        if not holds:
            self.broken.append(condition)


class Demo:
    """Run the parts of the demonstration on a running fleet."""

    def __init__(self, fleet: Fleet, table: Table, account: Account):
        self._fleet = fleet
        self._table = table
        self._account = account
        self._results: list[CallResult] = []

    async def run(self) -> None:
        """Run every part and audit the ledger."""
        await self._show_steady_load()
        await self._lose_an_answer_to_the_caller()
        await self._lose_an_answer_of_the_upstream()
        await self._break_an_upstream()
        self._audit()

    async def _show_steady_load(self) -> None:
        self._account.say("\n1. Reads and reservations, everything well")
        await self._load("steady")

    async def _lose_an_answer_to_the_caller(self) -> None:
        self._account.say("\n2. A reservation whose caller goes away before the answer")
        key = f"{await self._fleet.home('bayfinder-2')}/lost-answer"
        plan = CallPlan((KindShare(RESERVE_KIND),), body=b"bay 7", method="POST", key=key)
        lost = asyncio.create_task(self._call("bayfinder-2", plan))
        await self._wait_for_effect(key)
        lost.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await lost
        self._account.say("  the connection was closed after the charge, before the answer")
        again = await self._call("bayfinder-2", plan)
        self._show_resent(again, key, ("reservations", "payments"))

    async def _lose_an_answer_of_the_upstream(self) -> None:
        self._account.say("\n3. A card charge whose answer the upstream loses")
        payments = self._instances("payments")
        await asyncio.gather(
            *(self._fleet.upstream_faults(name, drop_answer=1) for name in payments)
        )
        key = f"{await self._fleet.home('payments-1')}/lost-charge"
        plan = CallPlan((KindShare(CHARGE_KIND),), body=b"card 42", method="POST", key=key)
        first = await self._call("payments-1", plan)
        again = await self._call("payments-2", plan)
        await asyncio.gather(*(self._fleet.upstream_faults(name) for name in payments))
        self._account.say(f"  first answer: {_told(first)}; sent again elsewhere: {_told(again)}")
        effects = LedgerAudit(self._fleet.effects()).effects_of(key)
        self._account.require(
            "the charge happened once, and no answer denies it",
            len(effects) == 1 and Ending.NOT_RUN not in (first.ending, again.ending),
            f"{len(effects)} effect in the ledger",
        )

    async def _break_an_upstream(self) -> None:
        self._account.say(f"\n4. The upstream of {BROKEN_UPSTREAM} dies under load and comes back")
        loop = asyncio.get_running_loop()
        load = asyncio.create_task(self._load("broken"))
        await asyncio.sleep(BREAK_AFTER_SECONDS)
        await self._fleet.kill_upstream(BROKEN_UPSTREAM)
        await load
        await self._fleet.start_upstream(BROKEN_UPSTREAM)
        started_at = loop.time()
        served = await self._wait_until_served_again(started_at + RECOVERY_SECONDS_MAX)
        self._account.require(
            f"the upstream serves again within {RECOVERY_SECONDS_MAX:.0f} s of its return, unaided",
            served,
            f"{loop.time() - started_at:.1f} s",
        )
        self._account.say("  load after the recovery:")
        await self._load("recovered")

    async def _load(self, name: str) -> None:
        summary = Summary({share.kind: self._table.by_kind[share.kind].rank for share in SHARES})
        taken = await asyncio.gather(
            *(self._load_edge(node, name, seed, summary) for seed, node in enumerate(EDGE_NODES))
        )
        for kind in summary.figures(max(taken)).kinds:
            outcomes = ", ".join(f"{label} {count}" for label, count in kind.outcomes.items())
            self._account.say(
                f"  rank {kind.rank}  {kind.kind:<18} {kind.good:>4} of {kind.calls:>4} good"
                f"   p50 {kind.latency_ms['p50']:>6.1f} ms   p99 {kind.latency_ms['p99']:>7.1f} ms"
                f"   ({outcomes})"
            )

    async def _load_edge(self, node: str, name: str, seed: int, summary: Summary) -> float:
        plan = CallPlan(
            SHARES,
            method="POST",
            path="/{number}",
            body=f"{name} {node} {{number}}".encode(),
            table=self._table,
        )
        pace = Pace(CALLS_PER_EDGE, concurrency=100, rate=CALLS_A_SECOND, seed=seed)
        client = CallClient(self._fleet.by_instance[node].caller_address, connections=100)
        wrong_bodies: list[int] = []

        def take(result: CallResult) -> None:
            summary.add(result)
            self._results.append(result)
            if result.is_good and result.body != plan.body_of(result.number):
                wrong_bodies.append(result.number)

        try:
            seconds = await LoadRunner(client, plan, pace, take).run()
        finally:
            await client.close()
        if wrong_bodies:
            self._account.require(f"callers of {node} got their own whole answers", False)
        return seconds

    async def _call(self, node: str, plan: CallPlan) -> CallResult:
        client = CallClient(self._fleet.by_instance[node].caller_address, connections=1)
        try:
            now = asyncio.get_running_loop().time()
            result = await client.call(plan, plan.shares[0].kind, now)
        finally:
            await client.close()
        self._results.append(result)
        return result

    async def _wait_for_effect(self, key: str) -> None:
        async with asyncio.timeout(RECOVERY_SECONDS_MAX):
            while not LedgerAudit(self._fleet.effects()).effects_of(key):
                await asyncio.sleep(0.001)

    def _show_resent(self, again: CallResult, key: str, services: tuple[str, ...]) -> None:
        effects = LedgerAudit(self._fleet.effects()).effects_of(key)
        self._account.say(f"  the same key sent again: {_told(again)}")
        self._account.require(
            "the reservation and its charge each happened once",
            again.is_good and len(effects) == len(set(effects)) == len(services),
            f"{len(effects)} effects in the ledger for {' and '.join(services)}",
        )

    async def _wait_until_served_again(self, deadline: float) -> bool:
        loop = asyncio.get_running_loop()
        plan = CallPlan((KindShare("bay-search"),), service="reservations", path="/probe")
        while loop.time() < deadline:
            result = await self._call(BROKEN_UPSTREAM, plan)
            if result.is_good and result.header(INSTANCE_HEADER) == BROKEN_UPSTREAM:
                return True
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        return False

    def _instances(self, service: str) -> Iterator[str]:
        return (
            name
            for name, running in self._fleet.by_instance.items()
            if running.plan.service == service
        )

    def _audit(self) -> None:
        self._account.say("\n5. What callers were told, against the ledger of true effects")
        effects = self._fleet.effects()
        audit = LedgerAudit(effects)
        repeated = audit.repeated()
        contradictions = list(audit.contradictions(self._results))
        lost = [result for result in self._results if result.ending is Ending.LOST]
        self._account.say(f"  {len(self._results)} answers, {len(effects)} effects")
        self._account.require("no effect happened twice", not repeated, ", ".join(repeated[:3]))
        self._account.require(
            "every answer 'ran' or 'not run' is true",
            not contradictions,
            "; ".join(contradictions[:3]),
        )
        self._account.require(
            "every caller that stayed got one of the three outcomes", not lost, str(len(lost) or "")
        )


def _told(result: CallResult) -> str:
    return f"{result.ending.value} {result.reason or result.status}"


async def run_demo(directory: Path) -> int:
    """Start the example, run the demonstration and return the exit code."""
    account = Account()
    table_text = read_example_table(CYCLE_BAYS)
    table = parse_table(table_text, 1, "").unwrap()
    fleet = Fleet(directory, CYCLE_BAYS.plans(), table_text)
    count = len(fleet.plans)
    account.say(
        f"Cycle Bays: {count} upstreams, each with its node, in {len(CYCLE_BAYS.data_centres)} "
        "data centres, with stand-ins for the upstreams and the platform"
    )
    try:
        if not await start_example(fleet):
            return 1
        await Demo(fleet, table, account).run()
    finally:
        await fleet.stop()
    broken = len(account.broken)
    account.say(
        f"\n{'Every condition held.' if not broken else f'{broken} conditions were broken.'}"
    )
    return 1 if broken else 0


def main() -> None:
    """Run the demonstration."""
    with tempfile.TemporaryDirectory() as directory:
        sys.exit(asyncio.run(run_demo(Path(directory))))


if __name__ == "__main__":
    main()
