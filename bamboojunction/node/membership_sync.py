"""Synchronisation of the table and the membership view, by gossip and from the platform."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Protocol

from loguru import logger

from bamboojunction.conf.settings import Settings
from bamboojunction.core.membership.gossip import GOSSIP_INTERVAL_SECONDS, GossipProtocol
from bamboojunction.core.membership.messages import OutgoingMessage
from bamboojunction.core.membership.view import (
    Announcement,
    InstanceState,
    MembershipView,
    with_draining_state,
    with_state,
)
from bamboojunction.core.table.holder import CurrentTable
from bamboojunction.links.gossip_codec import WIRE_TYPES, from_wire, to_wire
from bamboojunction.links.messages import AnyMessage
from bamboojunction.node.platform_sync import PlatformSync
from bamboojunction.platform.client import PlatformClient

# New announcements are held back this long, so that one message carries several.
FLUSH_DELAY_SECONDS = 0.05
DEREGISTER_TIMEOUT_SECONDS = 1.0


class MessageTransport(Protocol):
    """The transport for messages to and from other nodes, such as the link pool."""

    def send(self, address: str, message: AnyMessage) -> None:
        """Send a message without a delivery guarantee."""

    def drop_link(self, address: str) -> None:
        """Drop the link to an unresponsive node."""

    def set_handler(self, message_type: type, handler: Callable[[str, AnyMessage], None]) -> None:
        """Set the handler of a message type."""


class MembershipSync:
    """The driver of gossip and of the tasks that synchronise this node with the platform."""

    __slots__ = ("_flush_timer", "_links", "_loop", "_platform", "_tick_task", "gossip")

    def __init__(
        self,
        gossip: GossipProtocol,
        platform: PlatformSync,
        links: MessageTransport,
    ):
        self.gossip = gossip
        self._platform = platform
        self._links = links
        self._loop = asyncio.get_running_loop()
        self._tick_task: asyncio.Task | None = None
        self._flush_timer: asyncio.TimerHandle | None = None
        for message_type in WIRE_TYPES:
            links.set_handler(message_type, self._handle_message)

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        announcement: Announcement,
        view: MembershipView,
        current_table: CurrentTable,
        client: PlatformClient,
        links: MessageTransport,
        on_view: Callable[[], None],
        rng: random.Random | None = None,
    ) -> "MembershipSync":
        """Create the gossip protocol and the platform synchronisation of a node."""
        rng = rng or random.Random()
        own_announcement_changed = asyncio.Event()
        seeds = settings.links.seeds.split()
        gossip = GossipProtocol(
            announcement, view, current_table, seeds, rng, on_view, own_announcement_changed.set
        )
        platform = PlatformSync(gossip, client, settings.platform, rng, own_announcement_changed)
        sync = cls(gossip, platform, links)
        platform.on_sends = sync.send
        return sync

    def start(self) -> None:
        """Announce this node and start the tasks."""
        self.gossip.announce(self.gossip.own_announcement, self._loop.time())
        self._tick_task = asyncio.create_task(self._tick())
        self._platform.start()

    async def announce_draining(self) -> None:
        """Announce that this node is draining."""
        now = self._loop.time()
        self.gossip.announce(with_draining_state(self.gossip.own_announcement), now)
        self.send(self.gossip.flush(now))

    async def close(self) -> None:
        """Announce to peers that this node is gone, deregister it and end the tasks."""
        now = self._loop.time()
        if not self.gossip.own_announcement.is_gone:
            self.gossip.announce(with_state(self.gossip.own_announcement, InstanceState.GONE), now)
        self.send(self.gossip.flush(now))
        self._stop_timers()
        try:
            async with asyncio.timeout(DEREGISTER_TIMEOUT_SECONDS):
                await self._platform.deregister()
        except TimeoutError:
            logger.info("event=goodbye_timeout")
        await self._platform.close()

    async def stop_silently(self) -> None:
        """End the tasks without notifying peers or the platform."""
        self._stop_timers()
        await self._platform.close()

    def _stop_timers(self) -> None:
        if self._tick_task is not None:
            self._tick_task.cancel()
        if self._flush_timer is not None:
            self._flush_timer.cancel()

    def send(self, messages: Iterable[OutgoingMessage]) -> None:
        """Send gossip messages, and flush new announcements after a short delay."""
        for outgoing in messages:
            self._links.send(outgoing.address, to_wire(outgoing.message))
        if self._flush_timer is None:
            self._flush_timer = self._loop.call_later(FLUSH_DELAY_SECONDS, self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        for outgoing in self.gossip.flush(self._loop.time()):
            self._links.send(outgoing.address, to_wire(outgoing.message))

    async def _tick(self) -> None:
        while True:
            now = self._loop.time()
            self.send(self.gossip.tick(now))
            for address in self.gossip.addresses_to_reconnect(now):
                self._links.drop_link(address)
            await asyncio.sleep(GOSSIP_INTERVAL_SECONDS)

    def _handle_message(self, peer: str, message: AnyMessage) -> None:
        received = from_wire(message)
        if received.is_err():
            logger.warning(
                "event=exchange_message_refused peer={} error={!r}", peer, received.err()
            )
            return
        version = self.gossip.current_table.table.version
        self.send(self.gossip.handle_message(peer, received.ok(), self._loop.time()))
        table = self.gossip.current_table.table
        if table.version != version:
            logger.info("event=table_in_force version={} source={}", table.version, peer)
