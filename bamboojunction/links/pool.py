"""The pool of outgoing links, which are opened on demand and closed when idle."""

import asyncio
import itertools
import math
from collections.abc import Callable, Iterable

from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException
from websockets.extensions.permessage_deflate import ClientPerMessageDeflateFactory

from bamboojunction.conf.settings import LinkSettings
from bamboojunction.links.codec import decode, encode
from bamboojunction.links.handshake import Identity, compute_proof, is_valid_proof, new_nonce
from bamboojunction.links.link import Link, LinkFailure, MessageHandler, MessageHandlers
from bamboojunction.links.messages import AnyMessage, CallAnswer, Hello, SealAnswer
from bamboojunction.links.server import COMPRESS_SETTINGS
from bamboojunction.links.websocket import LinkClientConnection, LinkClosedError

# A window of 4 KB (2**12 bytes) holds the headers of the last few messages; a larger one costs
# memory per link.
REMOTE_WINDOW_BITS = 12
REMOTE_COMPRESSION = ClientPerMessageDeflateFactory(
    server_max_window_bits=REMOTE_WINDOW_BITS,
    client_max_window_bits=REMOTE_WINDOW_BITS,
    compress_settings=COMPRESS_SETTINGS,
)
# After a failed connection attempt, requests to that address fail at once for this long.
RECONNECT_DELAY_SECONDS = 0.2


class LinkPool:
    """The outgoing links of this node, by the address of the peer."""

    __slots__ = (
        "_connect_failed_at",
        "_connect_tasks",
        "_handlers",
        "_identity",
        "_kept_open",
        "_links_by_address",
        "_loop",
        "_request_ids",
        "_settings",
        "_silence_task",
        "_source_host",
        "_tasks",
        "is_remote",
        "on_connect_failed",
        "on_connected",
    )

    def __init__(self, identity: Identity, settings: LinkSettings, source_host: str):
        self._identity = identity
        self._settings = settings
        self._source_host = source_host
        self._handlers = MessageHandlers({})
        self._kept_open: frozenset[str] = frozenset()
        self._links_by_address: dict[str, Link] = {}
        self._connect_tasks: dict[str, asyncio.Task] = {}
        self._connect_failed_at: dict[str, float] = {}
        self._request_ids = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        self._silence_task: asyncio.Task | None = None
        # Links to other data centres are compressed: bandwidth between data centres costs more than
        # the processor time for compression.
        self.is_remote: Callable[[str], bool] = lambda address: False
        self.on_connect_failed: Callable[[str], None] = lambda address: None
        self.on_connected: Callable[[str], None] = lambda address: None
        self._loop = asyncio.get_running_loop()

    def set_handler(self, message_type: type, handler: MessageHandler) -> None:
        """Set the handler of a message type that is not an answer."""
        self._handlers.by_type[message_type] = handler

    @property
    def handlers(self) -> MessageHandlers:
        """Return the message handlers, which incoming links share."""
        return self._handlers

    def next_request_id(self) -> int:
        """Return a request id that is unique across all links of this pool."""
        return next(self._request_ids)

    async def request(
        self, address: str, message, deadline: float = math.inf
    ) -> CallAnswer | SealAnswer | LinkFailure:
        """Send a request to a node and wait for its answer, at most until the deadline.

        ``deadline`` is in seconds on the event loop's clock.
        """
        link = self._links_by_address.get(address)
        if link is None or not link.is_open:
            try:
                async with asyncio.timeout_at(None if deadline == math.inf else deadline):
                    link = await self._get_or_open(address)
            except TimeoutError:
                return LinkFailure.NOT_SENT
        if link is None:
            return LinkFailure.NOT_SENT
        return await link.request(message.request_id, encode(message), deadline)

    def send(self, address: str, message: AnyMessage) -> None:
        """Send a message that has no answer; drop it when the node cannot be reached."""
        self._spawn(self._send(address, encode(message)))

    async def keep_open(self, addresses: Iterable[str]) -> list[str]:
        """Open the links to these addresses; return the addresses that cannot be reached.

        The links stay open while they are idle, and are aborted if the peer is silent then, until
        the next call names other addresses.
        """
        self._kept_open = frozenset(addresses)
        kept = sorted(self._kept_open)
        links = await asyncio.gather(*(self._get_or_open(address) for address in kept))
        return [address for address, link in zip(kept, links, strict=True) if link is None]

    def open_links(self) -> list[Link]:
        """Return the outgoing links that are open."""
        return [link for link in self._links_by_address.values() if link.is_open]

    def forget_failures(self, addresses: Iterable[str]) -> None:
        """Try the next request to these addresses at once, as their nodes are known to be up."""
        for address in addresses:
            self._connect_failed_at.pop(address, None)

    def drop_link(self, address: str) -> None:
        """Abort the link to an unresponsive node, unless requests are pending on it."""
        link = self._links_by_address.get(address)
        if link is not None and not link.is_busy:
            link.abort()
            del self._links_by_address[address]

    async def close_idle(self) -> None:
        """Close links that stayed unused for the configured idle time, until cancelled."""
        while True:
            await asyncio.sleep(self._settings.idle_close_seconds / 4)
            idle_before = self._loop.time() - self._settings.idle_close_seconds
            idle = [
                address
                for address, link in self._links_by_address.items()
                if not link.is_busy
                and (not link.is_open or self._is_idle(address, link, idle_before))
            ]
            links = [self._links_by_address.pop(address) for address in idle]
            await asyncio.gather(*(link.close() for link in links))
            self._connect_failed_at = {
                address: failed_at
                for address, failed_at in self._connect_failed_at.items()
                if self._loop.time() - failed_at < RECONNECT_DELAY_SECONDS
            }

    def _is_idle(self, address: str, link: Link, idle_before: float) -> bool:
        return link.last_used_at < idle_before and address not in self._kept_open

    async def close(self) -> None:
        """Close all links."""
        links = list(self._links_by_address.values())
        self._links_by_address.clear()
        await asyncio.gather(*(link.close() for link in links))
        for task in self._tasks:
            task.cancel()

    async def _send(self, address: str, frame: bytes) -> None:
        link = await self._get_or_open(address)
        if link is not None:
            await link.send(frame)

    async def _get_or_open(self, address: str) -> Link | None:
        link = self._links_by_address.get(address)
        if link is not None and link.is_open:
            return link
        failed_at = self._connect_failed_at.get(address)
        if failed_at is not None and self._loop.time() - failed_at < RECONNECT_DELAY_SECONDS:
            return None
        task = self._connect_tasks.get(address)
        if task is None:
            task = self._spawn(self._open(address))
            self._connect_tasks[address] = task
            task.add_done_callback(lambda _: self._connect_tasks.pop(address, None))
        # Cancelling one caller must not cancel the connection attempt that others await.
        return await asyncio.shield(task)

    async def _open(self, address: str) -> Link | None:
        try:
            async with asyncio.timeout(self._settings.open_timeout_seconds):
                link = await self._connect_and_authenticate(address)
        except (WebSocketException, LinkClosedError, OSError, TimeoutError):
            link = None
        except (ValueError, OverflowError):
            # The address, which another node has announced, is none.
            link = None
        if link is None:
            self._connect_failed_at[address] = self._loop.time()
            self.on_connect_failed(address)
            return None
        self._connect_failed_at.pop(address, None)
        self._links_by_address[address] = link
        if self._silence_task is None:
            self._silence_task = self._spawn(self._watch_silence())
        self.on_connected(address)
        return link

    async def _watch_silence(self) -> None:
        """Check all links once per heartbeat interval; a task per link would cost more."""
        interval = self._settings.heartbeat_seconds
        for token in itertools.count():
            sleep_started_at = self._loop.time()
            await asyncio.sleep(interval)
            was_paused = self._loop.time() - sleep_started_at > 2 * interval
            for address, link in list(self._links_by_address.items()):
                link.check_silence(was_paused, token, address in self._kept_open)

    async def _connect_and_authenticate(self, address: str) -> Link | None:
        connection = await connect(
            f"ws://{address}/",
            create_connection=LinkClientConnection,
            compression=None,
            extensions=[REMOTE_COMPRESSION] if self.is_remote(address) else None,
            ping_interval=None,
            proxy=None,
            local_addr=(self._source_host, 0),
            max_size=self._settings.frame_max_bytes,
        )
        peer = None
        try:
            peer = await self._authenticate(connection)
        finally:
            if peer is None:
                connection.transport.abort()
        if peer is None:
            return None
        return Link(connection, peer, self._handlers, self._settings.heartbeat_seconds)

    async def _authenticate(self, connection: LinkClientConnection) -> str | None:
        """Return the peer's instance, or None when it does not prove that it knows the secret."""
        nonce = new_nonce()
        await connection.send_frame(encode(self._identity.hello(nonce)))
        frame = await connection.next_frame()
        hello = decode(frame).ok()
        secret = self._identity.secret
        if not isinstance(hello, Hello) or not is_valid_proof(
            hello.proof, secret, b"server", nonce, hello.nonce
        ):
            return None
        proof = compute_proof(secret, b"client", nonce, hello.nonce)
        await connection.send_frame(encode(self._identity.hello(nonce, proof)))
        return hello.instance

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
