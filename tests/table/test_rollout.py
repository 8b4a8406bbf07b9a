"""The wait for a rollout reports nodes that lag, do not answer or are ahead of the store."""

import unittest

import msgspec
from aiohttp import web

from bamboo_standins.memory_platform import InMemoryPlatform, InMemoryPlatformClient
from bamboojunction.core.membership.view import ANNOUNCEMENT_COLLECTION, Announcement
from bamboojunction.operators.table_rollout import wait_for_rollout


class RolloutTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = InMemoryPlatform()
        self.version_by_name: dict[str, int] = {}
        self.announcements: dict[str, Announcement] = {}

    async def add(self, name: str, version: int, *, announced: bool = True) -> None:
        self.version_by_name[name] = version

        async def state(request):
            known = [msgspec.to_builtins(entry) for entry in self.announcements.values()]
            version = self.version_by_name[name]
            return web.json_response(
                {"instance": name, "table_version": version, "upstreams": known}
            )

        app = web.Application()
        app.add_routes([web.get("/_bamboo/state", state)])
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        address = f"127.0.0.1:{runner.addresses[0][1]}"
        entry = Announcement(name, "i", "s", "d", "r", "127.0.0.1:1", 1.0, caller_address=address)
        self.announcements[name] = entry
        if announced:
            self.announce(entry)

    def announce(self, entry: Announcement) -> None:
        self.platform.store.put(
            ANNOUNCEMENT_COLLECTION, entry.instance, msgspec.to_builtins(entry), 0
        )

    async def wait(self, version: int, seconds: float = 30.0, on_progress=lambda rollout: None):
        client = InMemoryPlatformClient(self.platform)
        return await wait_for_rollout(client, version, seconds, on_progress)

    async def test_waits_until_every_node_reports_the_version(self):
        await self.add("a", 7)
        await self.add("b", 6)

        def catch_up(rollout):
            self.version_by_name["b"] = 7

        rollout = await self.wait(7, on_progress=catch_up)
        self.assertEqual((rollout.in_force, rollout.behind), (["a", "b"], []))

    async def test_names_those_that_lag_behind(self):
        await self.add("a", 7)
        await self.add("b", 6)
        rollout = await self.wait(7, seconds=0.5)
        self.assertEqual((rollout.in_force, rollout.behind), (["a"], ["b"]))

    async def test_reports_unreachable_nodes_without_waiting_for_them(self):
        await self.add("a", 7)
        for number, address in enumerate(("127.0.0.1:1", "", "name.example:80")):
            entry = Announcement(
                f"x{number}", "i", "s", "d", "r", "127.0.0.1:1", 1.0, caller_address=address
            )
            self.announce(entry)
        rollout = await self.wait(7)
        self.assertEqual(rollout.in_force, ["a"])
        self.assertEqual(rollout.unreachable, ["x0", "x1", "x2"])

    async def test_asks_nodes_that_are_announced_only_to_peers(self):
        await self.add("hidden", 6, announced=False)
        await self.add("a", 7)
        rollout = await self.wait(7, seconds=1.0)
        self.assertEqual(rollout.behind, ["hidden"])

    async def test_names_nodes_ahead_of_the_store(self):
        await self.add("a", 90)
        rollout = await self.wait(7)
        self.assertEqual((rollout.ahead_of(7), rollout.ahead_of(90)), (["a"], []))
