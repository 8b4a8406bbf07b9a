"""Answers that break off, are written twice or merge, at each byte, on connections in memory."""

import itertools
import unittest

from bamboo_standins.paused_clock import with_paused_clock
from bamboojunction.core.outcomes import NotRun, NotRunReason, Ran, Unknown, UnknownReason
from bamboojunction.core.table.rows import Effect
from bamboojunction.upstreams.recent_ids import RecentRequestIds
from tests.platform_node.answers import (
    INTERIM,
    REFUSED,
    STAMP,
    Script,
    ScriptedPool,
    answer,
    each_cut,
    send_in_turn,
)

REFUSAL = "503 Service Unavailable"
# Sizes of the pieces in which a connection gets an answer, in bytes.
PIECES = (1, 1_000_000)
BODY = b"0123456789abcdef"
# Statuses with the headers that go with them.
KINDS = (("200 OK", STAMP), (REFUSAL, REFUSED))


class CutTests(unittest.TestCase):
    """The outcome of a call whose answer breaks off, at each byte."""

    @with_paused_clock
    async def test_answer_is_taken_only_if_it_is_whole(self):
        forms = itertools.product(("length", "chunks", "end"), (b"", INTERIM), KINDS, PIECES)
        for framing, interim, (status, extra), piece_bytes in forms:
            whole = interim + answer("2", BODY, status, extra, framing)
            for ending, is_reused in itertools.product(("close", "reset", "silent"), (False, True)):
                earlier = ("1",) if is_reused else ()
                for cut in (*each_cut(whole), whole):
                    # A body without a length ends with its connection, wherever that closes.
                    ends_here = framing == "end" and ending == "close"
                    is_whole = len(cut) >= len(whole) - ends_here * len(BODY)
                    is_whole = is_whole and (framing != "end" or ends_here)
                    expected = Unknown if not is_whole else NotRun if extra == REFUSED else Ran
                    scripts = [*map(Script, map(answer, earlier)), Script(cut, ending, piece_bytes)]
                    outcome = (await send_in_turn(ScriptedPool(scripts), *earlier, "2"))[-1]
                    with self.subTest(cut=cut, ending=ending, is_reused=is_reused):
                        self.assertIsInstance(outcome, expected)
                        if expected is Ran:
                            body = cut[len(whole) - len(BODY) :] if ends_here else BODY
                            self.assertEqual((outcome.status, outcome.body), (200, body))


class SurplusTests(unittest.TestCase):
    """The outcome of a call whose answer comes behind other bytes on a reused connection."""

    @with_paused_clock
    async def test_cut_copy_of_an_earlier_answer_never_merges_with_the_next_one(self):
        """The status of an earlier refusal was taken for the status of the next call's answer."""
        copies = (
            answer("1", b"", REFUSAL, REFUSED),
            answer("1"),
            answer("1", framing="chunks"),
            answer("1", b"", "204 No Content"),
        )
        answers = {
            Ran: answer("2"),
            Unknown: answer("2", b"failed", "500 Internal Server Error"),
            NotRun: answer("2", b"", REFUSAL, REFUSED),
        }
        merged = []
        for copy, (outcome_type, last), piece_bytes in itertools.product(
            copies, answers.items(), PIECES
        ):
            for cut in each_cut(copy):
                surplus = Script(cut + last, piece_bytes=piece_bytes)
                pool = ScriptedPool([Script(answer("1")), surplus])
                _, outcome = await send_in_turn(pool, "1", "2")
                match outcome:
                    case Unknown():
                        continue
                    case Ran(status=500, body=b"failed") if outcome_type is Unknown:
                        continue
                merged.append((cut, last, outcome))
        self.assertEqual(merged, [])


class ProofTests(unittest.TestCase):
    """Answers with the id of their request that callers must not take for what they look like."""

    @with_paused_clock
    async def test_success_without_the_stamp_of_an_upstream_is_not_passed_on(self):
        """An answer of status 200 without a stamp reached the caller as a success."""
        for effect, status in itertools.product(Effect, ("200 OK", "204 No Content")):
            with self.subTest(effect=effect, status=status):
                pool = ScriptedPool([Script(answer("1", b"", status, extra=""))])
                (outcome,) = await send_in_turn(pool, "1", effect=effect)
                self.assertEqual(outcome, Unknown(UnknownReason.TRUNCATED))

    @with_paused_clock
    async def test_status_that_promises_not_run_is_passed_on_only_if_the_upstream_states_it(self):
        """A 503 of an upstream that may have run the call told its caller to send it again."""
        for status in ("408 Request Timeout", "429 Too Many Requests", REFUSAL):
            with self.subTest(status=status):
                scripts = [Script(answer("1", status=status))]
                (unsafe,) = await send_in_turn(ScriptedPool(scripts), "1")
                self.assertEqual(unsafe, Unknown(UnknownReason.TRUNCATED))
                (safe,) = await send_in_turn(ScriptedPool(scripts), "1", effect=Effect.IDEMPOTENT)
                self.assertEqual((safe.status, safe.body), (int(status[:3]), b"ok"))
                stated = Script(answer("1", b"", status, REFUSED))
                (refused,) = await send_in_turn(ScriptedPool([stated]), "1")
                self.assertEqual(refused, NotRun(NotRunReason.UPSTREAM_REFUSED))

    @with_paused_clock
    async def test_refusal_that_is_written_again_does_not_refuse_a_later_run_of_its_request(self):
        """A call that ran at its second arrival was refused by a copy of its first answer."""
        refusal = answer("1", b"", REFUSAL, REFUSED)
        scripts = [Script(refusal), Script(answer("2")), Script(answer("1"), surplus=refusal)]
        pool = ScriptedPool(scripts)
        first, _, last = await send_in_turn(pool, "1", "2", "1")
        self.assertEqual(first, NotRun(NotRunReason.UPSTREAM_REFUSED))
        self.assertEqual((getattr(last, "status", last), pool.opened_count), (200, 2))

    def test_only_the_latest_request_ids_are_remembered(self):
        recent = RecentRequestIds(ids_max=2)
        known = [recent.record(request_id) for request_id in ("1", "2", "1", "3", "1", "2")]
        self.assertEqual(known, [False, False, True, False, True, False])

    @with_paused_clock
    async def test_answer_whose_status_is_outside_the_protocol_is_malformed(self):
        """A status such as 99 was passed on, and its caller got bytes that are no answer."""
        for status in ("000 X", "099 X", "600 X", "999 X"):
            with self.subTest(status=status):
                (outcome,) = await send_in_turn(
                    ScriptedPool([Script(answer("1", status=status))]), "1"
                )
                self.assertEqual(outcome, Unknown(UnknownReason.TRUNCATED))
