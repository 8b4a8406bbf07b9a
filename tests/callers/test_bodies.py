"""Only a request whose complete body arrived becomes a call."""

import unittest
from types import SimpleNamespace

from result import Err

from bamboojunction.callers.app import CallSink, create_app
from bamboojunction.callers.requests import BadRequest

BODY_MAX_BYTES = 10


class FakeParser:
    """A request parser that records the bodies and rejects every request."""

    def __init__(self):
        self.bodies: list[bytes] = []

    def read(self, method, path, headers, body):
        self.bodies.append(body)
        return Err(BadRequest("Bamboo-Kind", "another"))


def part(body: bytes, more: bool) -> dict:
    return {"type": "http.request", "body": body, "more_body": more}


class BodyTests(unittest.IsolatedAsyncioTestCase):
    async def send_request(
        self, events: list[dict], length: int | None
    ) -> tuple[int, dict, list[bytes]]:
        parser = FakeParser()
        sink = CallSink(parser, None, SimpleNamespace(key_prefix="a/1/1"), BODY_MAX_BYTES)
        app = create_app(sink, SimpleNamespace(key_prefix="a/1/1"), lambda: None)
        headers = [] if length is None else [(b"content-length", b"%d" % length)]
        scope = {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.1"},
            "http_version": "1.1",
            "method": "POST",
            "path": "/charge",
            "query_string": b"",
            "headers": headers,
        }
        incoming = iter([*events, {"type": "http.disconnect"}])
        sent: list[dict] = []

        async def receive() -> dict:
            return next(incoming)

        async def send(event: dict) -> None:
            sent.append(event)

        await app(scope, receive, send)
        response_headers = {name.decode(): value.decode() for name, value in sent[0]["headers"]}
        return sent[0]["status"], response_headers, parser.bodies

    async def test_whole_bodies_are_read(self):
        cases = {
            "one part": ([part(b"hello", False)], 5),
            "two parts": ([part(b"he", True), part(b"llo", False)], 5),
            "without a length": ([part(b"he", True), part(b"llo", False)], None),
            "end after the last byte": ([part(b"hello", True), part(b"", False)], 5),
        }
        for name, (events, length) in cases.items():
            with self.subTest(name):
                _, _, bodies = await self.send_request(events, length)
                self.assertEqual(bodies, [b"hello"])

    async def test_request_with_incomplete_body_never_runs(self):
        for length in (5, None):
            with self.subTest(length=length):
                status, headers, bodies = await self.send_request([part(b"he", True)], length)
                self.assertEqual(bodies, [])
                self.assertEqual((status, headers["bamboo-reason"]), (503, "cancelled"))

    async def test_large_bodies_are_refused(self):
        for length in (11, None):
            with self.subTest(length=length):
                _, headers, bodies = await self.send_request([part(b"x" * 11, False)], length)
                self.assertEqual(bodies, [])
                self.assertEqual(headers["bamboo-reason"], "too-large")
