"""Answers that break off, through complete nodes, at each gate and in child calls."""

import asyncio
import itertools
import random
from unittest import mock

from tests.endless import RESPONSES
from tests.platform_node import fleet
from tests.platform_node.answers import answer
from tests.platform_node.base import FleetTestCase
from tests.platform_node.cut_upstream import CutAnswer, CutUpstream
from tests.platform_node.fleet import HOST, configuration, route

SEED = 33
ENDINGS = ("close", "reset", "silent")
FRAMINGS = ("length", "chunks", "end")
# The sizes of bodies in bytes, and whether they are streamed.
BODIES = ((16, False), (70_000, False), (70_000, True))


class BrokenAnswerPathTests(FleetTestCase):
    async def asyncSetUp(self):
        patch = mock.patch.object(fleet, "Upstream", CutUpstream)
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()
        self.random = random.Random(SEED)
        self.cut_by_path: dict[str, CutAnswer] = {}
        for name in ("a", "b", "c"):
            self.upstream(name).cut_by_path = self.cut_by_path
        pay = route("r-pay", "/pay/", "billing", kind="non_idempotent", timeout_ms=60_000)
        menu = route("r-menu", "/menu/", "menu", timeout_ms=60_000)
        await self.fleet.configure(configuration(3, pay, menu))
        await self.fleet.join()

    def cut(self, path: str, request_id: str, framing: str, body, ending: str) -> bytes | None:
        """Let the answer to a path break off, and return the body if a caller may see it."""
        size, is_streamed = body
        whole = answer(request_id, self.random.randbytes(size), framing=framing)
        head_bytes = whole.index(b"\r\n\r\n") + 4
        # Half of the answers break off in their heads.
        bounds = self.random.choice(((1, head_bytes), (head_bytes, len(whole))))
        data = whole[: self.random.randrange(*bounds)]
        self.cut_by_path[path] = CutAnswer(data, ending, is_streamed)
        has_ended = framing == "end" and ending == "close" and len(data) >= head_bytes
        return data[head_bytes:] if has_ended else None

    def runs(self, request_id: str) -> int:
        """Return how often a request was run, at all upstreams together."""
        return sum(self.upstream(name).executed.count(request_id) for name in ("a", "b", "c"))

    async def hold_parent(self) -> str:
        """Start a request that its upstream holds, and return the node beside that upstream."""
        self.cut_by_path["/menu/parent"] = CutAnswer(b"", "silent")
        headers = {"Bamboojunction-Request-Id": "root", "Bamboojunction-Deadline-Ms": "60000"}
        parent = asyncio.create_task(self.fleet.request("c", "/menu/parent", headers=headers))
        self.addCleanup(parent.cancel)
        await self.fleet.wait_until(lambda: self.runs("root") == 1)
        return next(name for name in ("a", "b") if "root" in self.upstream(name).executed)

    def deadline_ms(self, path: str) -> str:
        """Return the deadline of requests to a path, in milliseconds."""
        cut = self.cut_by_path.get(path)
        return "100" if cut is not None and cut.ending == "silent" else "5000"

    async def send(self, name: str, path: str, request_id: str):
        """Send a request that may run once, and return the status, the headers and the body."""
        address = self.fleet.machines[name].settings.caller_address
        headers = {
            "Host": HOST,
            "Bamboojunction-Request-Id": request_id,
            "Bamboojunction-Deadline-Ms": self.deadline_ms(path),
        }
        url = f"http://{address}{path}"
        async with self.fleet.session.post(url, headers=headers, data=b"b") as response:
            return response.status, response.headers, await response.read()

    async def test_answer_that_breaks_off_never_looks_whole_and_its_request_runs_once(self):
        parent_node = await self.hold_parent()
        upstream = self.upstream("c")
        cases = itertools.product(
            FRAMINGS, BODIES, ENDINGS, (False, True), (("c", ""), ("a", ""), (parent_node, "root."))
        )
        sent = arrived = 0
        for framing, body, ending, reuses, (node, prefix) in cases:
            sent += 1
            request_id, path = f"{prefix}{sent}", f"/pay/{sent}"
            ended_body = self.cut(path, request_id, framing, body, ending)
            await self.send("c", "/pay/kept" if reuses else "/pay/last", f"before-{sent}")
            status, headers, text = await self.send(node, path, request_id)
            with self.subTest(framing, body=body, ending=ending, node=node, reuses=reuses):
                runs = self.runs(request_id)
                arrived += runs
                self.assertEqual(headers["Bamboojunction-Request-Id"], request_id)
                self.assertLessEqual(runs, 1)
                if status == 200:
                    self.assertEqual(headers["Bamboojunction-Server-Stamp"], "s")
                    self.assertEqual(text, ended_body)
                elif runs:
                    self.assertIn(status, (502, 504))
        # On a busy machine a short deadline may pass before a request arrives.
        self.assertGreaterEqual(arrived, sent * 2 // 3)
        self.assertGreaterEqual(len(upstream.reusing), sent // 4)

    async def test_answers_to_pipelined_requests_keep_their_order_around_broken_ones(self):
        for number, (framing, body, ending) in enumerate(
            itertools.product(FRAMINGS, BODIES, ENDINGS)
        ):
            paths = [f"/{kind}/{number}-{n}" for n, kind in enumerate(("menu", "menu", "pay") * 3)]
            ended_body_by_path = {
                path: self.cut(path, path, framing, body, ending) for path in paths[1:6:2]
            }
            answers = await self.send_pipelined("a" if number % 2 else "c", paths)
            with self.subTest(framing=framing, body=body, ending=ending):
                self.assertEqual([request_id for _, request_id, _ in answers], paths)
                for status, path, text in answers:
                    if path not in ended_body_by_path:
                        self.assertEqual((status, text), (200, path.encode()))
                    elif status == 200:
                        self.assertEqual(text, ended_body_by_path[path])
                    elif self.runs(path):
                        self.assertIn(status, (502, 504))
                    # Reads may be repeated at the second upstream of their service.
                    self.assertLessEqual(self.runs(path), 1 if "pay" in path else 2)

    async def test_callers_are_served_while_an_upstream_sends_bytes_without_end(self):
        endless = [
            CutAnswer(start, "endless", filler=repeated) for start, repeated in RESPONSES.values()
        ]
        self.cut_by_path |= {f"/pay/{number}": cut for number, cut in enumerate(endless)}
        # All of them together leave one of the upstream's slots.
        floods = [asyncio.create_task(self.send("a", path, path)) for path in self.cut_by_path]
        answers = []
        while not all(flood.done() for flood in floods):
            answers.append(await self.send("a", f"/pay/whole/{len(answers)}", f"{len(answers)}"))
        for status, headers, _ in await asyncio.gather(*floods):
            self.assertEqual(status, 502)
            self.assertNotIn("Bamboojunction-Server-Stamp", headers)
        for number, (status, headers, text) in enumerate(answers):
            self.assertEqual((status, text), (200, f"/pay/whole/{number}".encode()))
            self.assertEqual(headers["Bamboojunction-Request-Id"], f"{number}")
        self.assertGreater(len(answers), 0)
        machines = self.fleet.machines.values()
        await self.fleet.wait_until(
            lambda: all(not machine.node.body_memory.held_bytes for machine in machines)
        )

    async def send_pipelined(self, name: str, paths: list[str]) -> list[tuple[int, str, bytes]]:
        """Send requests in one write, and return the status, id and body of each answer."""
        host, port = self.fleet.machines[name].settings.caller_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"".join(
                f"{'POST' if 'pay' in path else 'GET'} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Bamboojunction-Request-Id: {path}\r\nBamboojunction-Deadline-Ms: "
                f"{self.deadline_ms(path)}\r\nContent-Length: 0\r\n\r\n".encode()
                for path in paths
            )
        )
        answers = []
        for _ in paths:
            status_line, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            value_by_name = dict(line.split(": ", 1) for line in lines if line)
            body = await reader.readexactly(int(value_by_name["content-length"]))
            request_id = value_by_name["bamboojunction-request-id"]
            answers.append((int(status_line.split()[1]), request_id, body))
        writer.close()
        return answers
