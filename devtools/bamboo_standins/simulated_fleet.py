"""Simulated fleet: many nodes in one process, for tests and benchmarks on a paused clock.

Each node runs the real code for membership and table synchronisation. The links are simulated:
messages are encoded as on a real link and arrive after a fixed delay, unless a fault drops them.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from bamboo_standins.memory_platform import InMemoryPlatform, InMemoryPlatformClient
from bamboojunction.conf.settings import (
    LinkSettings,
    NodeSettings,
    PlatformSettings,
    Settings,
    UpstreamSettings,
)
from bamboojunction.core.membership.view import Announcement, MembershipView
from bamboojunction.core.table.csvfile import parse_table
from bamboojunction.core.table.diff import diff_tables
from bamboojunction.core.table.holder import CurrentTable
from bamboojunction.core.table.render import render_table
from bamboojunction.core.table.rows import Table
from bamboojunction.core.table.stored_object import (
    TABLE_COLLECTION,
    TABLE_OBJECT_NAME,
    Edit,
    build_object_value,
    read_table_object,
)
from bamboojunction.links.codec import decode, encode
from bamboojunction.links.messages import AnyMessage
from bamboojunction.node.membership_sync import MembershipSync

LINK_DELAY_SECONDS = 0.001
# Header sizes of a masked WebSocket frame and, for TCP/IP, of the packet that carries it.
FRAME_HEADER_BYTES = 8
PACKET_HEADER_BYTES = 40
FLEET_START_TIMESTAMP = 1_900_000_000.0


@dataclass(slots=True)
class SimulatedNetwork:
    """The simulated links between nodes.

    ``is_partitioned`` returns whether messages from a sender to a receiver are dropped.
    ``loss_probability`` is the probability that any other message is dropped.
    """

    node_by_address: dict[str, "SimulatedNode"] = field(default_factory=dict)
    is_partitioned: Callable[["SimulatedNode", "SimulatedNode"], bool] = (
        lambda sender, receiver: False
    )
    loss_probability: float = 0.0
    loss_random: random.Random = field(default_factory=lambda: random.Random(1))

    def deliver(self, sender: "SimulatedNode", address: str, message: AnyMessage) -> None:
        """Send a message; drop it if the receiver is unreachable or by random loss."""
        frame = encode(message)
        sender.sent_bytes += len(frame) + FRAME_HEADER_BYTES + PACKET_HEADER_BYTES
        sender.sent_bytes_by_type[type(message).__name__] += len(frame)
        receiver = self.node_by_address.get(address)
        if receiver is None or self.is_partitioned(sender, receiver):
            return
        if self.loss_probability and self.loss_random.random() < self.loss_probability:
            return
        receiver.received_bytes += len(frame) + FRAME_HEADER_BYTES + PACKET_HEADER_BYTES
        loop = asyncio.get_running_loop()
        loop.call_later(LINK_DELAY_SECONDS, receiver.receive, sender.instance, frame)


class SimulatedNode:
    """A node's membership view, table and synchronisation tasks.

    It also implements the link pool that the synchronisation sends through.
    """

    def __init__(self, fleet: "SimulatedFleet", announcement: Announcement, seeds: str):
        self.instance = announcement.instance
        self.announcement = announcement
        self.network = fleet.network
        self.client = InMemoryPlatformClient(fleet.platform)
        self.view = MembershipView()
        self.current_table = CurrentTable()
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_bytes_by_type: Counter[str] = Counter()
        self.table_version_changes: list[tuple[float, int]] = []
        self.handlers: dict[type, Callable[[str, AnyMessage], None]] = {}
        self.is_running = False
        self.sync = MembershipSync.from_config(
            _settings(announcement, seeds),
            announcement,
            self.view,
            self.current_table,
            self.client,
            self,
            lambda: None,
            random.Random(announcement.instance + announcement.incarnation),
        )

    def start(self) -> None:
        """Start the synchronisation tasks and register the node's address on the network."""
        self.network.node_by_address[self.announcement.address] = self
        self.is_running = True
        self.sync.start()

    async def kill(self) -> None:
        """Stop abruptly, without telling the other nodes."""
        self.is_running = False
        if self.network.node_by_address.get(self.announcement.address) is self:
            del self.network.node_by_address[self.announcement.address]
        await self.sync.stop_silently()

    async def stop(self) -> None:
        """Announce to the other nodes that this one leaves, then stop."""
        await self.sync.announce_draining()
        await asyncio.sleep(LINK_DELAY_SECONDS)
        await self.sync.close()
        await self.kill()

    def send(self, address: str, message: AnyMessage) -> None:
        """Send a message without a delivery guarantee."""
        self.network.deliver(self, address, message)

    def drop_link(self, address: str) -> None:
        """Do nothing; there is no connection to drop."""

    def set_handler(self, message_type: type, handler: Callable[[str, AnyMessage], None]) -> None:
        """Register the handler for a message type."""
        self.handlers[message_type] = handler

    def receive(self, peer: str, frame: bytes) -> None:
        """Decode a frame and pass the message to its handler, as a link does."""
        if not self.is_running:
            return
        message = decode(frame).unwrap()
        self.handlers[type(message)](peer, message)
        version = self.current_table.table.version
        if not self.table_version_changes or self.table_version_changes[-1][1] != version:
            self.table_version_changes.append((asyncio.get_running_loop().time(), version))


class SimulatedFleet:
    """Simulated nodes with the network and the platform that they share."""

    def __init__(self):
        self.network = SimulatedNetwork()
        self.platform = InMemoryPlatform()
        self.node_by_instance: dict[str, SimulatedNode] = {}
        self._incarnations = Counter()

    def start_node(
        self,
        instance: str,
        data_centre: str = "north",
        service: str = "bayfinder",
        seeds: str = "",
        started_at: float | None = None,
    ) -> SimulatedNode:
        """Create and start a node, or the next incarnation of a stopped one."""
        self._incarnations[instance] += 1
        previous = self.node_by_instance.get(instance)
        assert previous is None or not previous.is_running
        now = asyncio.get_running_loop().time()
        announcement = Announcement(
            instance=instance,
            incarnation=f"{instance}-{self._incarnations[instance]:012}",
            service=service,
            data_centre=data_centre,
            region="region",
            address=previous.announcement.address if previous else self._next_address(),
            started_at=FLEET_START_TIMESTAMP + now if started_at is None else started_at,
            caller_address="10.0.0.1:8000",
        )
        node = SimulatedNode(self, announcement, seeds)
        self.node_by_instance[instance] = node
        node.start()
        return node

    @property
    def running_nodes(self) -> list[SimulatedNode]:
        """Return the running nodes."""
        return [node for node in self.node_by_instance.values() if node.is_running]

    async def close(self) -> None:
        """Stop every running node abruptly."""
        for node in self.running_nodes:
            await node.kill()

    def write_table(self, text: str, edit_id: str = "edit") -> int:
        """Write a table to the platform as an operator does, and return its version."""
        store = self.platform.store
        current = store.object_by_key.get((TABLE_COLLECTION, TABLE_OBJECT_NAME))
        value, version = (current.value, current.version) if current else ({}, 0)
        previous_table = read_table_object(value, version).unwrap() if current else Table()
        table = parse_table(text, 0, edit_id).unwrap()
        edit = Edit(edit_id, "operator", "")
        new_value = build_object_value(
            table, edit, version, value, diff_tables(previous_table, table)
        )
        stored = store.put(TABLE_COLLECTION, TABLE_OBJECT_NAME, new_value, version).unwrap()
        self.platform.wake_watches()
        return stored.version

    def views_converged(self) -> bool:
        """Return whether each running node's view lists exactly the running nodes as present."""
        expected = {node.sync.gossip.own_announcement for node in self.running_nodes}
        return all(set(node.view.present()) == expected for node in self.running_nodes)

    def all_apply_version(self, version: int) -> bool:
        """Return whether every running node has the given table version in force."""
        return all(node.current_table.table.version == version for node in self.running_nodes)

    async def wait_until(self, condition: Callable[[], bool], timeout_seconds: float) -> float:
        """Wait until a condition holds and return the seconds that it took.

        Raise AssertionError if it takes more than ``timeout_seconds`` seconds.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()
        while not condition():
            if loop.time() - start > timeout_seconds:
                raise AssertionError(f"the condition did not hold within {timeout_seconds} s")
            await asyncio.sleep(0.05)
        return loop.time() - start

    def _next_address(self) -> str:
        number = len(self.node_by_instance) + 1
        return f"10.1.{number // 250}.{number % 250 + 1}:7000"


def render_uniform_table(rows: int, weight: int = 10) -> str:
    """Return the text of a table with the given number of rows, all of the same weight."""
    header = "kind,rank,weight,effect,deadline_ms,retries,slots_max,services\n"
    lines = (
        f"kind-{number},{number % 10},{weight},idempotent,1000,1,0,bayfinder payments\n"
        for number in range(rows)
    )
    return header + "".join(lines)


def replace_weight(text: str, kind: str, weight: int) -> str:
    """Return the text of a table with the weight of one kind replaced."""
    table = parse_table(text, 0, "").unwrap()
    row = replace(table.by_kind[kind], weight=weight)
    return render_table(replace(table, by_kind={**table.by_kind, kind: row}))


def _settings(announcement: Announcement, seeds: str) -> Settings:
    return Settings(
        node=NodeSettings(
            instance=announcement.instance,
            service=announcement.service,
            data_centre=announcement.data_centre,
            region=announcement.region,
            link_address=announcement.address,
            caller_address=announcement.caller_address,
        ),
        upstream=UpstreamSettings(address="127.0.0.1:1"),
        platform=PlatformSettings(),
        links=LinkSettings(seeds=seeds),
    )
