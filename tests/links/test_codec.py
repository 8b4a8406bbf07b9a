"""Round trips of messages through the codec, and errors for malformed frames."""

import unittest
from typing import get_args

import cbor2

from bamboojunction.core.outcomes import Ran
from bamboojunction.links.codec import decode, encode
from bamboojunction.links.convert import answer_to_reply, reply_to_answer
from bamboojunction.links.messages import AnyMessage, CallAnswer, Heartbeat, Load
from bamboojunction.links.replies import GateReply


class CodecTests(unittest.TestCase):
    def test_answer_with_load_survives_round_trip(self):
        load = Load(1, 2, 3, ((4, 0.5),), False, (("payments", ((3, 0.25),)),))
        answer = CallAnswer(7, 0, 200, (("a", "b"),), b"body", "", 0.0, 1, 0.01, load)
        self.assertEqual(decode(encode(answer)).ok(), answer)

    def test_failure_below_survives_round_trip_and_older_nodes_leave_it_out(self):
        reply = GateReply(Ran(500, (), b"", 0, failed_below=True))
        self.assertEqual(answer_to_reply(decode(encode(reply_to_answer(1, reply))).ok()), reply)
        older = [2, 7, 0, 500, [], b"", "", 0.0, 0, 0.0, None, 0]
        answer = decode(cbor2.dumps(older)).ok()
        self.assertEqual(answer_to_reply(answer).outcome, Ran(500))

    def test_malformed_frames_are_errors(self):
        for frame in (b"", b"\x80", b"\xff", b"\x81\x18\x63", b"\xa1\x01"):
            with self.subTest(frame=frame):
                self.assertTrue(decode(frame).is_err())

    def test_unknown_trailing_fields_are_ignored(self):
        frame = b"\x84\x08\x05\xf5\x19\x03\xe8"
        self.assertEqual(decode(frame).ok(), Heartbeat(5, True))

    def test_message_tags_are_unique(self):
        tags = [message_type.__struct_config__.tag for message_type in get_args(AnyMessage)]
        self.assertEqual(len(tags), len(set(tags)))
