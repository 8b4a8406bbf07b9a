"""The store watchers of a data centre, with complete platform nodes."""

import unittest

from bamboo_standins.platform import StoreFaults
from bamboojunction.core.membership.ring import Ring
from tests.platform_node.fleet import PlatformFleet, configuration, route


class WatcherTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = PlatformFleet()
        await self.fleet.start(a="menu", b="menu", c="menu", d="menu")
        self.addAsyncCleanup(self.fleet.close)

    async def test_configuration_arrives_after_all_store_watchers_are_lost(self):
        """The others of the data centre kept an old configuration while the replicas lagged."""
        await self.fleet.configure(configuration(3, route("r-menu", "/menu/", "menu")))
        await self.fleet.join()
        ring = Ring(self.fleet.machines["a"].node.view, "lac").instances()
        for name in ring[:2]:
            await self.fleet.machines.pop(name).close()
        await self.fleet.platform.set_faults(StoreFaults(lagging_replicas=True))
        await self.fleet.configure(configuration(4, route("r-new", "/new/", "menu")))
