"""The base class of tests with a fleet of three platform nodes."""

import unittest

from tests.platform_node.fleet import PlatformFleet, configuration, route


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case with two nodes of one service and one node of another."""

    async def asyncSetUp(self):
        self.fleet = PlatformFleet()
        await self.fleet.start(a="menu", b="menu", c="billing")
        self.addAsyncCleanup(self.fleet.close)

    async def configure_and_join(self) -> None:
        await self.fleet.configure(
            configuration(
                3,
                route("r-menu", "/menu/", "menu"),
                route("r-pay", "/pay/", "billing", kind="non_idempotent"),
            )
        )
        await self.fleet.join()

    def upstream(self, name: str):
        return self.fleet.machines[name].upstream
