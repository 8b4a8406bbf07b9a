"""A simulated fleet of platform nodes that follow the configuration, for a paused clock.

The nodes run the real code that follows the store and tells peers. Links and store are simulated.
"""

import asyncio
import os
import random
from collections import Counter

import msgspec

from bamboo_standins.memory_platform import InMemoryPlatform, InMemoryPlatformClient
from bamboo_standins.simulated_fleet import SimulatedNetwork
from bamboojunction.core.membership.ring import Ring
from bamboojunction.core.membership.view import (
    ANNOUNCEMENT_COLLECTION,
    Announcement,
    MembershipView,
)
from bamboojunction.core.routes import CurrentRoutes
from bamboojunction.links.codec import decode
from bamboojunction.links.messages import AnyMessage
from bamboojunction.platform import configuration
from bamboojunction.platform_node.peer_sync import PeerSync
from bamboojunction.platform_node.store_sync import StoreSync
from bamboojunction.platform_node.store_watchers import STORE_WATCHERS_PER_DATA_CENTRE
from bamboojunction.telemetry.events import EventLog
from bamboojunction.telemetry.line_output import LineOutput

DATA_CENTRES = ("east-1", "east-2", "east-3", "west-1", "west-2")
LINKS_PER_NODE = 30
HISTORY_SECONDS = 20.0
# How far the replicas behind stale answers lag.
REPLICA_LAG_SECONDS = 2.0
SETTLE_SECONDS = 5.0


class SimulatedLink:
    """One direction of a simulated link."""

    __slots__ = ("_address", "_sender", "peer")

    def __init__(self, sender: "ConfigurationNode", receiver: "ConfigurationNode"):
        self.peer = receiver.instance
        self._sender = sender
        self._address = receiver.address

    def send_soon(self, message: AnyMessage) -> None:
        """Send a message without a delivery guarantee."""
        self._sender.send(self._address, message)


class LinkedPeers:
    """The links that other nodes opened to one node; the counterpart of its own links."""

    __slots__ = ("links",)

    def __init__(self):
        self.links: list[SimulatedLink] = []

    def open_links(self) -> list[SimulatedLink]:
        """Return the links, those to dead nodes included, as links break only after a time."""
        return self.links


class ConfigurationNode:
    """A platform node reduced to what follows and spreads the configuration.

    It also implements the link pool through which its peer synchronization sends.
    """

    def __init__(self, fleet: "ConfigurationFleet", number: int, descriptor: int):
        self.instance = f"node-{number}"
        self.address = f"10.1.{number // 250}.{number % 250 + 1}:7000"
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self._network = fleet.network
        self._descriptor = descriptor
        self._loop = asyncio.get_running_loop()
        self.client = InMemoryPlatformClient(fleet.platform)
        self.current_routes = CurrentRoutes()
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_bytes_by_type: Counter[str] = Counter()
        self.handlers = {}
        self.outgoing = LinkedPeers()
        self.incoming = LinkedPeers()
        self.is_running = False
        self.is_store_watcher = False
        self._view = MembershipView()
        self._ring = Ring(self._view, self.data_centre, STORE_WATCHERS_PER_DATA_CENTRE)

    def announcement(self) -> Announcement:
        """Return the announcement that the store holds from the start."""
        return Announcement(
            self.instance, "1", "bayfinder", self.data_centre, "region", self.address, 1.0
        )

    def start(self) -> None:
        """Start the synchronization with the store and the peers."""
        rng = random.Random(self.instance)
        events = EventLog(self.instance, LineOutput(self._descriptor, self._loop.time()))
        self._store_sync = StoreSync(self.client, self.current_routes, rng, events, HISTORY_SECONDS)
        self._store_sync.on_instances_changed = self._update_role
        PeerSync(self.address, self._store_sync, self, self.incoming, events)
        self._network.node_by_address[self.address] = self
        self.is_running = True
        self._store_sync.start()

    async def kill(self) -> None:
        """Stop abruptly."""
        self.is_running = False
        self._network.node_by_address.pop(self.address, None)
        await self._store_sync.close()

    def open_links(self) -> list[SimulatedLink]:
        """Return the links that this node opened."""
        return self.outgoing.open_links()

    def send(self, address: str, message: AnyMessage) -> None:
        """Send a message without a delivery guarantee."""
        self._network.deliver(self, address, message)

    def set_handler(self, message_type: type, handler) -> None:
        """Register the handler of a message type."""
        self.handlers[message_type] = handler

    def receive(self, peer: str, frame: bytes) -> None:
        """Pass a message to its handler, as a link does."""
        if self.is_running:
            message = decode(frame).unwrap()
            self.handlers[type(message)](peer, message)

    def _update_role(self, by_instance: dict[str, Announcement]) -> None:
        for entry in by_instance.values():
            self._view.merge(entry)
        self.is_store_watcher = self._ring.watches_platform(self.instance)
        self._store_sync.set_store_watcher(self.is_store_watcher)


class ConfigurationFleet:
    """A fleet of platform nodes, each with links to some others, and their store."""

    def __init__(self, nodes: int, seed: int):
        self.network = SimulatedNetwork(loss_random=random.Random(seed))
        self.platform = InMemoryPlatform(replica_lag_seconds=REPLICA_LAG_SECONDS)
        self._random = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._descriptor = os.open(os.devnull, os.O_WRONLY)
        self.nodes = [ConfigurationNode(self, number, self._descriptor) for number in range(nodes)]
        self._version = 0

    async def start(self) -> None:
        """Announce all nodes, link them, start them and write a first configuration."""
        for node in self.nodes:
            self.platform.store.put(
                ANNOUNCEMENT_COLLECTION, node.instance, msgspec.to_builtins(node.announcement()), 0
            )
            for peer in self._random.sample(self.nodes, min(len(self.nodes), LINKS_PER_NODE)):
                if peer is not node:
                    node.outgoing.links.append(SimulatedLink(node, peer))
                    peer.incoming.links.append(SimulatedLink(peer, node))
        for node in self.nodes:
            node.start()
        self.write_configuration()
        await asyncio.sleep(SETTLE_SECONDS)

    async def close(self) -> None:
        """Stop all nodes."""
        for node in self.running_nodes:
            await node.kill()
        os.close(self._descriptor)

    @property
    def running_nodes(self) -> list[ConfigurationNode]:
        """Return the nodes that run."""
        return [node for node in self.nodes if node.is_running]

    def write_configuration(self) -> int:
        """Write the next version to the store, as an operator does, and return it."""
        store = self.platform.store
        key = (configuration.COLLECTION, configuration.OBJECT_NAME)
        stored = store.object_by_key.get(key)
        self._version += 1
        value = {"version": self._version, "vhosts": [{"host": "h.example", "paths": []}]}
        store.put(*key, value, stored.version if stored else 0).unwrap()
        self.platform.wake_watches()
        return self._version
