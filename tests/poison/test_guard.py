"""The poison guard bans requests that crash upstreams, and clears the other suspects."""

import itertools
import unittest

from bamboojunction.core.outcomes import NotRunReason
from bamboojunction.core.poison.decisions import (
    Ban,
    Clearance,
    DelaySuspect,
    RefuseSuspect,
    RunIsolated,
    RunNormally,
    Suspicion,
)
from bamboojunction.core.poison.fingerprints import fingerprint_of
from bamboojunction.core.poison.guard import (
    BAN_SECONDS,
    COMPLETED_FINGERPRINTS_MAX,
    SUSPICION_SECONDS,
    PoisonGuard,
)
from bamboojunction.core.poison.quarantine import quarantine_instance

POISON = 666


def at_quarantine_instance(fingerprint: int) -> bool:
    return True


def at_other_instance(fingerprint: int) -> bool:
    return False


class Fleet:
    """The guards of one service, each of which receives the findings of the others at once."""

    def __init__(self, *names: str):
        self.by_name = {name: PoisonGuard(name) for name in names}
        self._next_ticket = 0

    def start(self, name: str, fingerprint: int, now: float) -> int:
        self._next_ticket += 1
        self.by_name[name].record_start(self._next_ticket, fingerprint, now)
        return self._next_ticket

    def crash(self, name: str, tickets: list[int], now: float) -> None:
        for ticket in tickets:
            self.propagate(name, self.by_name[name].record_crash(ticket, now), now)

    def complete(self, name: str, ticket: int, now: float) -> None:
        self.propagate(name, self.by_name[name].record_completion(ticket, now), now)

    def propagate(self, origin: str, findings: list, now: float) -> None:
        for finding in findings:
            for name, guard in self.by_name.items():
                if name != origin:
                    self.propagate(name, guard.apply_finding(finding, now), now)

    def crash_with(self, name: str, fingerprints: list[int], started_at: float, now: float) -> None:
        tickets = [self.start(name, fingerprint, started_at) for fingerprint in fingerprints]
        self.crash(name, tickets, now)

    def banned(self, now: float) -> set[int]:
        candidates = range(1, 1000)
        per_guard = [
            {fingerprint for fingerprint in candidates if guard.is_banned(fingerprint, now)}
            for guard in self.by_name.values()
        ]
        if any(bans != per_guard[0] for bans in per_guard):
            raise AssertionError(f"the guards disagree on the bans: {per_guard}")
        return per_guard[0]


class BanTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet("a", "b", "c")

    def test_two_crashes_at_different_nodes_ban_everywhere(self):
        self.fleet.crash_with("a", [POISON, 1, 2], 0.0, 0.1)
        self.assertEqual(set(), self.fleet.banned(0.1))
        self.fleet.crash_with("b", [POISON, 3, 4], 0.2, 0.3)
        self.assertEqual({POISON}, self.fleet.banned(0.3))

    def test_a_ban_expires(self):
        self.fleet.crash_with("a", [POISON], 0.0, 0.1)
        self.fleet.crash_with("a", [POISON], 2.0, 2.1)
        self.assertEqual({POISON}, self.fleet.banned(2.1 + BAN_SECONDS - 1))
        self.assertEqual(set(), self.fleet.banned(2.1 + BAN_SECONDS))

    def test_connections_that_break_one_after_the_other_are_one_crash(self):
        self.fleet.crash_with("a", [POISON, POISON, POISON], 0.0, 0.1)
        self.assertEqual(set(), self.fleet.banned(0.1))

    def test_a_suspicion_that_is_received_twice_counts_once(self):
        suspicion = Suspicion(POISON, "a", "a/1", 1.0, 60.0)
        guard = PoisonGuard("b")
        for _ in range(3):
            guard.apply_finding(suspicion, 0.0)
        self.assertFalse(guard.is_banned(POISON, 0.0))

    def test_suspicions_of_two_crashes_ban_at_a_third_node(self):
        guard = PoisonGuard("c")
        guard.apply_finding(Suspicion(POISON, "a", "a/1", 1.0, 60.0), 0.0)
        findings = guard.apply_finding(Suspicion(POISON, "b", "b/1", 1.0, 60.0), 0.0)
        self.assertIn(POISON, [f.fingerprint for f in findings if isinstance(f, Ban)])


class ClearanceTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet("a", "b", "c")

    def test_a_completed_request_is_no_suspect(self):
        self.fleet.complete("a", self.fleet.start("a", 1, 0.0), 0.1)
        for name in ("a", "b"):
            self.fleet.crash_with(name, [POISON, 1], 0.2, 0.3)
        self.assertEqual({POISON}, self.fleet.banned(0.3))
        self.assertFalse(self.fleet.by_name["c"].is_suspect(1, 0.3))

    def test_a_node_that_completed_the_request_clears_it_at_all_nodes(self):
        self.fleet.complete("b", self.fleet.start("b", 1, 0.0), 0.1)
        self.fleet.crash_with("a", [POISON, 1], 0.2, 0.3)
        for guard in self.fleet.by_name.values():
            self.assertFalse(guard.is_suspect(1, 0.3))
            self.assertTrue(guard.is_suspect(POISON, 0.3))

    def test_only_the_isolated_request_is_banned(self):
        self.fleet.crash_with("a", [POISON, 1], 0.0, 0.1)
        guard = self.fleet.by_name["b"]
        self.assertEqual(RunIsolated(), guard.admit(POISON, at_quarantine_instance, 1.0))
        other_call = self.fleet.start("b", 1, 0.05)
        suspect = self.fleet.start("b", POISON, 1.0)
        self.fleet.crash("b", [other_call, suspect], 1.1)
        self.assertEqual({POISON}, self.fleet.banned(1.1))

    def test_a_ban_clears_the_other_suspects_of_its_crashes(self):
        self.fleet.crash_with("a", [POISON, 1, 2], 0.0, 0.1)
        self.fleet.crash_with("b", [POISON, 3], 0.2, 0.3)
        for fingerprint in (1, 2, 3):
            for guard in self.fleet.by_name.values():
                self.assertFalse(guard.is_suspect(fingerprint, 0.3))

    def test_second_crashing_request_is_banned_after_the_first(self):
        """A request that a ban had cleared counted as completed, and was never suspected again."""
        self.fleet.crash_with("a", [POISON, 7], 0.0, 0.1)
        self.fleet.crash_with("b", [POISON], 0.2, 0.3)
        self.assertEqual({POISON}, self.fleet.banned(0.3))
        for name, second in (("c", 3.0), ("a", 6.0)):
            self.fleet.crash_with(name, [7], second, second + 0.1)
        self.assertEqual({POISON, 7}, self.fleet.banned(6.1))


class QuarantineTests(unittest.TestCase):
    def setUp(self):
        self.guard = PoisonGuard("a")
        self.guard.record_start(1, POISON, 0.0)
        self.guard.record_start(2, 7, 0.0)
        self.guard.record_crash(1, 0.4)
        self.guard.record_crash(2, 0.4)

    def test_request_that_is_no_suspect_runs_normally(self):
        self.assertEqual(RunNormally(), self.guard.admit(5, at_other_instance, 0.5))

    def test_a_suspect_is_held_while_duplicates_may_run_at_other_nodes(self):
        hold = self.guard.admit(POISON, at_quarantine_instance, 0.5)
        self.assertIsInstance(hold, DelaySuspect)
        self.assertGreaterEqual(0.5 + hold.seconds, 0.8)
        self.assertEqual(
            RunIsolated(), self.guard.admit(POISON, at_quarantine_instance, 0.5 + hold.seconds)
        )

    def test_only_one_suspect_runs_at_a_time(self):
        self.assertEqual(RunIsolated(), self.guard.admit(POISON, at_quarantine_instance, 2.0))
        self.assertIsInstance(self.guard.admit(7, at_quarantine_instance, 2.0), DelaySuspect)
        self.assertIsInstance(self.guard.admit(POISON, at_quarantine_instance, 2.0), DelaySuspect)
        self.guard.record_start(3, POISON, 2.0)
        self.assertEqual([Clearance(POISON)], self.guard.record_completion(3, 2.1))
        self.assertEqual(RunIsolated(), self.guard.admit(7, at_quarantine_instance, 2.1))

    def test_a_suspect_that_never_started_lets_another_one_run(self):
        self.guard.admit(POISON, at_quarantine_instance, 2.0)
        self.guard.release(POISON)
        self.assertEqual(RunIsolated(), self.guard.admit(7, at_quarantine_instance, 2.0))

    def test_other_instances_refuse_a_suspect(self):
        refused = self.guard.admit(POISON, at_other_instance, 2.0)
        self.assertIsInstance(refused, RefuseSuspect)
        self.assertEqual(NotRunReason.QUARANTINED, refused.outcome.reason)

    def test_a_suspicion_expires(self):
        self.assertEqual(
            RunNormally(), self.guard.admit(POISON, at_other_instance, 2.0 + SUSPICION_SECONDS)
        )

    def test_a_second_crash_bans(self):
        self.guard.admit(POISON, at_quarantine_instance, 2.0)
        self.guard.record_start(3, POISON, 2.0)
        self.guard.record_crash(3, 2.1)
        refused = self.guard.admit(POISON, at_quarantine_instance, 2.2)
        self.assertEqual(NotRunReason.POISONED, refused.outcome.reason)

    def test_the_quarantine_instance_does_not_depend_on_the_order(self):
        names = [f"instance-{number}" for number in range(7)]
        for fingerprint in range(50):
            chosen = quarantine_instance(fingerprint, names)
            self.assertEqual(chosen, quarantine_instance(fingerprint, reversed(names)))

    def test_instances_that_crashed_come_last(self):
        names = [f"instance-{number}" for number in range(4)]
        for fingerprint in range(50):
            self.assertNotEqual(names[0], quarantine_instance(fingerprint, names, {names[0]}))
            self.assertEqual(names[0], quarantine_instance(fingerprint, names[:1], {names[0]}))

    def test_suspects_spread_over_the_instances(self):
        names = [f"instance-{number}" for number in range(4)]
        self.assertEqual(set(names), {quarantine_instance(f, names) for f in range(100)})


class GuardWithoutIsolationTests(unittest.TestCase):
    """Suspects run like other calls; the requests that a crash leaves behind must not be banned."""

    def setUp(self):
        self.guards = [PoisonGuard(name, isolates_suspects=False) for name in "abc"]
        self.tickets = itertools.count(1)

    def crash(self, number: int, fingerprints: list[int], now: float) -> None:
        tickets = [next(self.tickets) for _ in fingerprints]
        for ticket, fingerprint in zip(tickets, fingerprints, strict=True):
            self.guards[number].record_start(ticket, fingerprint, now - 0.1)
        for ticket in tickets:
            for finding in self.guards[number].record_crash(ticket, now):
                for other in self.guards:
                    if other is not self.guards[number]:
                        other.apply_finding(finding, now)

    def banned(self, now: float) -> list[set[int]]:
        return [{ban.fingerprint for ban in guard.bans(now)} for guard in self.guards]

    def test_suspects_run_like_other_calls(self):
        self.crash(0, [POISON, 7], 1.0)
        for guard in self.guards:
            self.assertEqual(RunNormally(), guard.admit(POISON, at_other_instance, 1.1))
            self.assertIsNone(guard.recheck(POISON, False, 1.1))

    def test_second_crash_bans_the_only_request_that_both_had_in_flight(self):
        self.crash(0, [POISON, 7], 1.0)
        self.crash(1, [POISON, 8], 3.0)
        self.assertEqual(self.banned(3.0), [{POISON}] * 3)
        refused = self.guards[2].admit(POISON, at_other_instance, 3.1)
        self.assertEqual(NotRunReason.POISONED, refused.outcome.reason)

    def test_second_crash_bans_nothing_while_several_requests_may_be_the_cause(self):
        self.crash(0, [POISON, 7, 8], 1.0)
        self.crash(1, [POISON, 7], 3.0)
        self.assertEqual(self.banned(3.0), [set()] * 3)

    def test_third_crash_bans_the_request_that_all_had_in_flight(self):
        self.crash(0, [POISON, 7, 8], 1.0)
        self.crash(1, [POISON, 7], 3.0)
        self.crash(2, [POISON, 8], 5.0)
        self.assertEqual(self.banned(5.0), [{POISON}] * 3)


class MemoryTests(unittest.TestCase):
    def test_memory_is_bounded(self):
        guard = PoisonGuard("a")
        for number in range(COMPLETED_FINGERPRINTS_MAX + 50):
            guard.record_start(number, number, 0.0)
            guard.record_completion(number, 0.0)
        self.assertEqual(COMPLETED_FINGERPRINTS_MAX, len(guard._completed_at_by_fingerprint))


class FingerprintTests(unittest.TestCase):
    def test_parts_are_hashed_with_their_boundaries(self):
        fingerprints = {
            fingerprint_of("read", "GET", "/a", b""),
            fingerprint_of("read", "GET", "/", b"a"),
            fingerprint_of("readG", "ET", "/a", b""),
        }
        self.assertEqual(3, len(fingerprints))
