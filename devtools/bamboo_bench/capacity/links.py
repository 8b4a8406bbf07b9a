"""Memory of open links between nodes, against their number."""

import asyncio

from bamboo_bench.capacity.slopes import Point, Slope
from bamboo_bench.path.chains import resident_bytes
from bamboo_standins.process_fleet import free_port
from bamboojunction.conf.settings import LinkSettings
from bamboojunction.core.outcomes import Ran
from bamboojunction.links.handshake import Identity
from bamboojunction.links.link import MessageHandlers
from bamboojunction.links.messages import CallRequest
from bamboojunction.links.pool import LinkPool
from bamboojunction.links.replies import GateReply
from bamboojunction.links.server import LinkServer

COMMAND = "bamboo-bench capacity --part links"
HOST = "127.0.0.1"
TARGET_LINKS = 200
LINK_COUNTS = (25, 50, 100, TARGET_LINKS)
SECRET = b"capacity bench secret"


def measure() -> list[Slope]:
    """Return the slope of memory per link; both ends of each link are in this process."""
    points = asyncio.run(_measure_links())
    return [Slope("both ends of a link", "kB", "link", points, TARGET_LINKS, None, COMMAND)]


async def _serve(call: CallRequest) -> GateReply:
    return GateReply(Ran(200))


async def _measure_links() -> tuple[Point, ...]:
    settings = LinkSettings()
    servers = []
    pool = LinkPool(Identity("peer", "incarnation", SECRET), settings, HOST)
    points = []
    kilobytes_before = _resident_kilobytes()
    for link_count in LINK_COUNTS:
        while len(servers) < link_count:
            servers.append(await _open_link(pool, settings, len(servers)))
        points.append(Point(link_count, _resident_kilobytes() - kilobytes_before))
    await pool.close()
    for server in servers:
        await server.close()
    return tuple(points)


async def _open_link(pool: LinkPool, settings: LinkSettings, number: int) -> LinkServer:
    identity = Identity(f"server-{number}", "incarnation", SECRET)
    server = LinkServer(identity, settings, _serve, lambda seal: None, MessageHandlers({}))
    port = free_port(HOST)
    await server.start(HOST, port)
    fields = ("", "", "", 5.0, 0, 0, "", 0, "GET", "/", (), b"", "")
    await pool.request(f"{HOST}:{port}", CallRequest(pool.next_request_id(), 0, *fields))
    return server


def _resident_kilobytes() -> float:
    return resident_bytes("self") / 1000
