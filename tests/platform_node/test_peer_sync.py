"""A node that cannot reach the store gets configuration and announcements from its peers."""

import asyncio
import random
import unittest
from tempfile import TemporaryFile

from bamboojunction.conf.settings import LinkSettings
from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.routes import CurrentRoutes
from bamboojunction.links.handshake import Identity
from bamboojunction.links.messages import Heartbeat
from bamboojunction.links.pool import LinkPool
from bamboojunction.links.server import LinkServer
from bamboojunction.platform.configuration import decode_configuration
from bamboojunction.platform.http_client import HttpPlatformClient
from bamboojunction.platform_node.peer_sync import PeerSync
from bamboojunction.platform_node.store_sync import StoreSync
from bamboojunction.telemetry.events import EventLog
from bamboojunction.telemetry.line_output import LineOutput

CONFIGURATION = {"version": 7, "vhosts": [{"host": "h.example", "paths": []}]}


class Peer:
    def __init__(self, name: str, host: str, output: LineOutput):
        identity = Identity(name, "1", b"")
        self.address = f"{host}:0"
        self.host = host
        self.current_routes = CurrentRoutes()
        self.links = LinkPool(identity, LinkSettings(), host)
        events = EventLog(name, output)
        client = HttpPlatformClient([], 1.0)
        self.store_sync = StoreSync(client, self.current_routes, random.Random(1), events, 20.0)
        self.server = LinkServer(identity, LinkSettings(), None, None, self.links.handlers)
        self.events = events

    async def start(self) -> None:
        await self.server.start(self.host, 0)
        port = self.server.port
        self.address = f"{self.host}:{port}"
        self.peer_sync = PeerSync(
            self.address, self.store_sync, self.links, self.server, self.events
        )

    async def close(self) -> None:
        await self.links.close()
        await self.server.close()


class PeerSyncTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        output = self.enterContext(TemporaryFile())
        lines = LineOutput(output.fileno(), 0.0)
        self.established = Peer("old", "127.0.0.1", lines)
        self.joining = Peer("new", "127.0.0.2", lines)
        for peer in (self.established, self.joining):
            await peer.start()
            self.addAsyncCleanup(peer.close)

    async def wait_until(self, condition) -> None:
        async with asyncio.timeout(5.0):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_opened_link_brings_configuration_and_announcements(self):
        entry = Announcement("up-1", "1", "menu", "lac", "nord", "127.0.0.9:1", 5.0)
        self.established.store_sync.offer_configuration(
            decode_configuration(CONFIGURATION).unwrap(), "test"
        )
        self.established.store_sync.offer_instances([entry])
        self.established.links.send(self.joining.address, self.first_message())
        await self.wait_until(lambda: self.joining.current_routes.routes.version == 7)
        await self.wait_until(lambda: self.joining.store_sync.announcements() == [entry])

    async def test_new_version_reaches_the_other_end_of_a_link_whoever_opened_it(self):
        for version, source in ((7, self.established), (9, self.joining)):
            self.established.links.send(self.joining.address, self.first_message())
            await self.wait_until(self.joining.server.open_links)
            source.store_sync.offer_configuration(
                decode_configuration({**CONFIGURATION, "version": version}).unwrap(), "store"
            )
            for peer in (self.established, self.joining):
                await self.wait_until(
                    lambda peer=peer, version=version: peer.current_routes.routes.version == version
                )

    async def test_older_configuration_of_a_peer_changes_nothing(self):
        newer = {**CONFIGURATION, "version": 9}
        self.joining.store_sync.offer_configuration(decode_configuration(newer).unwrap(), "test")
        self.established.store_sync.offer_configuration(
            decode_configuration(CONFIGURATION).unwrap(), "test"
        )
        self.joining.links.send(self.established.address, self.first_message())
        await self.wait_until(lambda: self.established.current_routes.routes.version == 9)
        self.assertEqual(self.joining.current_routes.routes.version, 9)

    def first_message(self):
        # Any message opens the link.
        return Heartbeat(1, True)
