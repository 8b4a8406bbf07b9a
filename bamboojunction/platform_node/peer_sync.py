"""Synchronization of configuration and announcements between nodes.

If the store is down or refuses a node that has just started, the peers that open a link to it are
its only source of the configuration and of the announcements.
"""

from collections.abc import Callable

import msgspec
from result import Err, Ok

from bamboojunction.core.membership.messages import AnnouncementUpdate
from bamboojunction.links.gossip_codec import from_wire, to_wire
from bamboojunction.links.messages import AnyMessage, Digest, TableRequest, TableUpdate, ViewDelta
from bamboojunction.links.pool import LinkPool
from bamboojunction.platform import configuration
from bamboojunction.platform_node.store_sync import StoreSync
from bamboojunction.telemetry.events import EventLog


class PeerSync:
    """A handler that exchanges the configuration and the announcements with peers.

    It sends the active configuration version when a link opens; a peer with an older version then
    requests the configuration and the announcements.
    """

    def __init__(self, own_address: str, store_sync: StoreSync, links: LinkPool, events: EventLog):
        self._own_address = own_address
        self._store_sync = store_sync
        self._links = links
        self._events = events
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
        version = self._store_sync.routes_version
        if version:
            # The table messages carry the configuration here, which has no view hash.
            self._links.send(address, Digest(version, 0, self._own_address))

    def _request_if_newer(self, peer: str, message: AnyMessage) -> None:
        """Request the state of a peer whose configuration is newer."""
        if message.table_version > self._store_sync.routes_version:
            request = TableRequest(self._store_sync.routes_version, self._own_address)
            self._links.send(message.address, request)

    def _send_state(self, peer: str, message: AnyMessage) -> None:
        document = self._store_sync.routes_document
        if document is None or not message.address:
            return
        text = msgspec.json.encode(document).decode()
        # The table messages carry the configuration here, which has no edit id.
        update = TableUpdate(self._store_sync.routes_version, "", text)
        self._links.send(message.address, update)
        self._links.send(
            message.address, to_wire(AnnouncementUpdate(self._store_sync.announcements()))
        )

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
