"""Demonstration of the Cycle Bays example on loopback, with faults; run by ``make demo``.

It checks conditions along the way and exits with 0 if all of them held, otherwise with 1.
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
from bamboo_standins.ledger import LedgerAudit
from bamboo_standins.process_fleet import ProcessFleet
from bamboo_standins.upstream import INSTANCE_HEADER
from bamboojunction.core.table.csvfile import parse_table
from bamboojunction.core.table.rows import Table
from bamboojunction.management.load.client import CallClient, CallEnding, CallResult
from bamboojunction.management.load.plan import CallPlan, KindShare, LoadLimits
from bamboojunction.management.load.runner import LoadRunner
from bamboojunction.management.load.summary import LoadSummary

ENTRY_NODES = ("bayfinder-1", "reservations-2", "lockerlog-3")
KILLED_UPSTREAM = "reservations-1"
KIND_SHARES = (
    KindShare("bay-reservation", 3),
    KindShare("bay-search", 5),
    KindShare("locker-history", 2),
    KindShare("occupancy-summary", 1),
)
CALLS_PER_NODE = 120
CALLS_PER_SECOND = 60.0
KILL_AFTER_SECONDS = 0.5
RECOVERY_SECONDS_MAX = 20.0
POLL_INTERVAL_SECONDS = 0.1
RESERVE_KIND = "bay-reservation"
CHARGE_KIND = "card-charge"


@dataclass(slots=True)
class ConditionReport:
    """The printed report of the run and the conditions that did not hold."""

    failed_conditions: list[str] = field(default_factory=list)

    def print_line(self, text: str = "") -> None:
        """Print a line."""
        print(text, flush=True)

    def check(self, condition: str, holds: bool, detail: str = "") -> None:
        """Print whether a condition held, and record it if it did not."""
        self.print_line(
            f"  {'held  ' if holds else 'BROKEN'}  {condition}{detail and f': {detail}'}"
        )
        if not holds:
            self.failed_conditions.append(condition)


class Demo:
    """The steps of the demonstration, on a running fleet."""

    def __init__(self, fleet: ProcessFleet, table: Table, report: ConditionReport):
        self._fleet = fleet
        self._table = table
        self._report = report
        self._results: list[CallResult] = []

    async def run(self) -> None:
        """Run every step and audit the ledger."""
        await self._run_without_faults()
        await self._disconnect_caller()
        await self._drop_upstream_response()
        await self._kill_and_restart_upstream()
        self._audit_ledger()

    async def _run_without_faults(self) -> None:
        self._report.print_line("\n1. Reads and reservations without faults")
        await self._run_load("steady")

    async def _disconnect_caller(self) -> None:
        self._report.print_line("\n2. A reservation whose caller disconnects before the response")
        key = f"{await self._fleet.home_key_prefix('bayfinder-2')}/lost-answer"
        plan = CallPlan((KindShare(RESERVE_KIND),), body=b"bay 7", method="POST", key=key)
        abandoned_call = asyncio.create_task(self._call("bayfinder-2", plan))
        await self._wait_for_effect(key)
        abandoned_call.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await abandoned_call
        self._report.print_line(
            "  the caller disconnected after the charge and before the response"
        )
        resent = await self._call("bayfinder-2", plan)
        self._check_resent_call(resent, key, ("reservations", "payments"))

    async def _drop_upstream_response(self) -> None:
        self._report.print_line("\n3. A card charge whose response the upstream drops")
        payments = self._instances_of("payments")
        await asyncio.gather(
            *(self._fleet.set_upstream_faults(name, drop_answer=1) for name in payments)
        )
        key = f"{await self._fleet.home_key_prefix('payments-1')}/lost-charge"
        plan = CallPlan((KindShare(CHARGE_KIND),), body=b"card 42", method="POST", key=key)
        first = await self._call("payments-1", plan)
        resent = await self._call("payments-2", plan)
        await asyncio.gather(*(self._fleet.set_upstream_faults(name) for name in payments))
        self._report.print_line(
            f"  first response: {_describe(first)}; resent to another node: {_describe(resent)}"
        )
        effects = LedgerAudit(self._fleet.effects()).effect_keys(key)
        self._report.check(
            "the charge happened once, and no response says that it did not run",
            len(effects) == 1 and CallEnding.NOT_RUN not in (first.ending, resent.ending),
            f"{len(effects)} effect in the ledger",
        )

    async def _kill_and_restart_upstream(self) -> None:
        self._report.print_line(
            f"\n4. The upstream of {KILLED_UPSTREAM} is killed under load and restarted"
        )
        loop = asyncio.get_running_loop()
        load = asyncio.create_task(self._run_load("broken"))
        await asyncio.sleep(KILL_AFTER_SECONDS)
        await self._fleet.kill_upstream(KILLED_UPSTREAM)
        await load
        await self._fleet.start_upstream(KILLED_UPSTREAM)
        started_at = loop.time()
        served = await self._wait_until_served_again(started_at + RECOVERY_SECONDS_MAX)
        self._report.check(
            f"the upstream serves calls unaided within {RECOVERY_SECONDS_MAX:.0f} s of its restart",
            served,
            f"{loop.time() - started_at:.1f} s",
        )
        self._report.print_line("  load after the recovery:")
        await self._run_load("recovered")

    async def _run_load(self, name: str) -> None:
        summary = LoadSummary(
            {share.kind: self._table.by_kind[share.kind].rank for share in KIND_SHARES}
        )
        durations = await asyncio.gather(
            *(self._load_node(node, name, seed, summary) for seed, node in enumerate(ENTRY_NODES))
        )
        for kind in summary.statistics(max(durations)).kinds:
            outcomes = ", ".join(f"{label} {count}" for label, count in kind.outcomes.items())
            self._report.print_line(
                f"  rank {kind.rank}  {kind.kind:<18} {kind.good:>4} of {kind.calls:>4} good"
                f"   p50 {kind.latency_ms['p50']:>6.1f} ms   p99 {kind.latency_ms['p99']:>7.1f} ms"
                f"   ({outcomes})"
            )

    async def _load_node(self, node: str, name: str, seed: int, summary: LoadSummary) -> float:
        plan = CallPlan(
            KIND_SHARES,
            method="POST",
            path="/{number}",
            body=f"{name} {node} {{number}}".encode(),
            table=self._table,
        )
        limits = LoadLimits(CALLS_PER_NODE, concurrency=100, rate=CALLS_PER_SECOND, seed=seed)
        client = CallClient(self._fleet.running_by_instance[node].caller_address, connections=100)
        wrong_bodies: list[int] = []

        def record_result(result: CallResult) -> None:
            summary.add(result)
            self._results.append(result)
            if result.succeeded and result.body != plan.body_of(result.number):
                wrong_bodies.append(result.number)

        try:
            seconds = await LoadRunner(client, plan, limits, record_result).run()
        finally:
            await client.close()
        if wrong_bodies:
            self._report.check(
                f"callers of {node} got complete responses to their own calls", False
            )
        return seconds

    async def _call(self, node: str, plan: CallPlan) -> CallResult:
        client = CallClient(self._fleet.running_by_instance[node].caller_address, connections=1)
        try:
            now = asyncio.get_running_loop().time()
            result = await client.call(plan, plan.shares[0].kind, now)
        finally:
            await client.close()
        self._results.append(result)
        return result

    async def _wait_for_effect(self, key: str) -> None:
        async with asyncio.timeout(RECOVERY_SECONDS_MAX):
            while not LedgerAudit(self._fleet.effects()).effect_keys(key):
                await asyncio.sleep(0.001)

    def _check_resent_call(self, resent: CallResult, key: str, services: tuple[str, ...]) -> None:
        effects = LedgerAudit(self._fleet.effects()).effect_keys(key)
        self._report.print_line(f"  resent with the same key: {_describe(resent)}")
        self._report.check(
            "the reservation and its charge each happened once",
            resent.succeeded and len(effects) == len(set(effects)) == len(services),
            f"{len(effects)} effects in the ledger for {' and '.join(services)}",
        )

    async def _wait_until_served_again(self, deadline: float) -> bool:
        loop = asyncio.get_running_loop()
        plan = CallPlan((KindShare("bay-search"),), service="reservations", path="/probe")
        while loop.time() < deadline:
            result = await self._call(KILLED_UPSTREAM, plan)
            if result.succeeded and result.header(INSTANCE_HEADER) == KILLED_UPSTREAM:
                return True
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return False

    def _instances_of(self, service: str) -> Iterator[str]:
        return (
            name
            for name, running in self._fleet.running_by_instance.items()
            if running.plan.service == service
        )

    def _audit_ledger(self) -> None:
        self._report.print_line(
            "\n5. Outcomes that callers received, compared with the ledger of effects"
        )
        effects = self._fleet.effects()
        audit = LedgerAudit(effects)
        repeated_keys = audit.repeated_keys()
        contradictions = list(audit.contradictions(self._results))
        without_outcome = [result for result in self._results if result.ending is CallEnding.LOST]
        self._report.print_line(f"  {len(self._results)} answers, {len(effects)} effects")
        self._report.check(
            "no effect happened twice", not repeated_keys, ", ".join(repeated_keys[:3])
        )
        self._report.check(
            "the ledger contradicts no outcome 'ran' or 'not run'",
            not contradictions,
            "; ".join(contradictions[:3]),
        )
        self._report.check(
            "every caller that stayed connected received one of the three outcomes",
            not without_outcome,
            str(len(without_outcome) or ""),
        )


def _describe(result: CallResult) -> str:
    return f"{result.ending.value} {result.reason or result.status}"


async def run_demo(directory: Path) -> int:
    """Start the example deployment, run the demonstration and return the exit code."""
    report = ConditionReport()
    table_text = read_example_table(CYCLE_BAYS)
    table = parse_table(table_text, 1, "").unwrap()
    fleet = ProcessFleet(directory, CYCLE_BAYS.plans(), table_text)
    count = len(fleet.plans)
    report.print_line(
        f"Cycle Bays: {count} upstreams, each with a node, in {len(CYCLE_BAYS.data_centres)} "
        "data centres; stand-ins replace the upstreams and the platform"
    )
    try:
        if not await start_example(fleet):
            return 1
        await Demo(fleet, table, report).run()
    finally:
        await fleet.stop()
    failures = len(report.failed_conditions)
    report.print_line(
        f"\n{'Every condition held.' if not failures else f'{failures} conditions did not hold.'}"
    )
    return 1 if failures else 0


def main() -> None:
    """Run the demonstration and exit."""
    with tempfile.TemporaryDirectory() as directory:
        sys.exit(asyncio.run(run_demo(Path(directory))))


if __name__ == "__main__":
    main()
