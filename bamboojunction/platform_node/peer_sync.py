"""Synchronization of configuration and announcements between nodes.

Most nodes learn of a new configuration from peers. If the store is down or refuses a node that has
just started, the peers are also its only source of the announcements.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec
from result import Err, Ok

from bamboojunction.core.membership.messages import AnnouncementUpdate
from bamboojunction.core.membership.version_gossip import (
    REQUEST_TIMEOUT_SECONDS,
    VersionGossip,
)
from bamboojunction.links.gossip_codec import from_wire, to_wire
from bamboojunction.links.messages import AnyMessage, Digest, TableRequest, TableUpdate, ViewDelta
from bamboojunction.links.pool import LinkPool
from bamboojunction.links.server import LinkServer
from bamboojunction.platform import configuration
from bamboojunction.platform_node.store_sync import StoreSync
from bamboojunction.telemetry.events import EventLog


class PeerSync:
    """A handler that exchanges the configuration and the announcements with peers.

    It sends the active configuration version when a link opens and, to some of the linked peers,
    when the version changes. A peer with an older version then requests the configuration; one
    without any also gets the announcements.
    """

    def __init__(
        self,
        own_address: str,
        store_sync: StoreSync,
        links: LinkPool,
        link_server: LinkServer,
        events: EventLog,
    ):
        self._own_address = own_address
        self._store_sync = store_sync
        self._links = links
        self._link_server = link_server
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._gossip = VersionGossip(random.Random())
        self._request_timer: asyncio.TimerHandle | None = None
        store_sync.on_configuration_applied = self._tell_peers
        links.on_connected = self._send_digest
        self.on_link_opened: Callable[[str], None] = lambda address: None
        handlers = {
            Digest: self._request_if_newer,
            TableRequest: self._send_state,
            TableUpdate: self._apply_configuration,
            ViewDelta: self._apply_announcements,
        }
        for message_type, handler in handlers.items():
            links.set_handler(message_type, handler)

    def _send_digest(self, address: str) -> None:
        self.on_link_opened(address)
        if self._store_sync.routes_version:
            self._links.send(address, self._digest())

    def _digest(self) -> Digest:
        # The table messages carry the configuration here, which has no view hash.
        return Digest(self._store_sync.routes_version, 0, self._own_address)

    def _tell_peers(self, source: str) -> None:
        """Tell some of the peers to which a link is open of the new version."""
        link_by_peer = {link.peer: link for link in self._link_server.open_links()}
        link_by_peer |= {link.peer: link for link in self._links.open_links()}
        digest = self._digest()
        for peer in self._gossip.peers_to_tell(link_by_peer, source):
            link_by_peer[peer].send_soon(digest)

    def _request_if_newer(self, peer: str, message: AnyMessage) -> None:
        """Request the state of a peer whose configuration is newer."""
        self._request_from(
            self._gossip.record_told(
                self._store_sync.routes_version,
                message.table_version,
                message.address,
                self._loop.time(),
            )
        )

    def _request_from(self, address: str | None) -> None:
        """Request the configuration from a peer, and later from the next one if it is missing."""
        if address is None:
            return
        self._links.send(address, TableRequest(self._store_sync.routes_version, self._own_address))
        if self._request_timer is not None:
            self._request_timer.cancel()
        self._request_timer = self._loop.call_later(
            REQUEST_TIMEOUT_SECONDS, self._request_from_next
        )

    def _request_from_next(self) -> None:
        self._request_from(
            self._gossip.next_to_ask(self._store_sync.routes_version, self._loop.time())
        )

    def _send_state(self, peer: str, message: AnyMessage) -> None:
        document = self._store_sync.routes_document
        if document is None or not message.address:
            return
        text = msgspec.json.encode(document).decode()
        # The table messages carry the configuration here, which has no edit id.
        update = TableUpdate(self._store_sync.routes_version, "", text)
        self._links.send(message.address, update)
        if not message.version:
            announcements = AnnouncementUpdate(self._store_sync.announcements())
            self._links.send(message.address, to_wire(announcements))

    def _apply_configuration(self, peer: str, message: AnyMessage) -> None:
        try:
            document = msgspec.json.decode(message.text, type=dict)
        except msgspec.DecodeError as error:
            self._events.configuration_rejected(message.version, f"from {peer}: {error}")
            return
        match configuration.decode_configuration(document):
            case Ok(decoded):
                self._store_sync.offer_configuration(decoded, peer)
            case Err(problem):
                self._events.configuration_rejected(message.version, f"from {peer}: {problem}")

    def _apply_announcements(self, peer: str, message: AnyMessage) -> None:
        match from_wire(message):
            case Ok(AnnouncementUpdate(entries)):
                self._store_sync.offer_instances(list(entries))
            case Err(problem):
                self._events.announcement_rejected(f"from {peer}: {problem}")
