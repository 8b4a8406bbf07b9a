"""Rollout of a table version: polls nodes until the version is in force at all reachable ones."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from ipaddress import ip_address

import aiohttp
import msgspec

from bamboojunction.core.membership.view import ANNOUNCEMENT_COLLECTION, Announcement, InstanceState
from bamboojunction.platform.client import PlatformClient

POLL_INTERVAL_SECONDS = 0.3
REQUEST_TIMEOUT_SECONDS = 1.0
CONCURRENT_REQUESTS_MAX = 50
# Consecutive failed requests after which a node counts as unreachable.
UNREACHABLE_AFTER_FAILURES = 2


class NodeStatePage(msgspec.Struct, frozen=True):
    """The fields of a node's state page that a rollout needs."""

    instance: str
    table_version: int
    upstreams: list[Announcement] = []


@dataclass(slots=True)
class NodeProgress:
    """The progress of one node; the version is -1 before its first report."""

    address: str
    version: int = -1
    failures: int = 0


@dataclass(slots=True)
class Rollout:
    """The progress of all nodes towards a version of the table."""

    version: int
    by_instance: dict[str, NodeProgress] = field(default_factory=dict)

    @property
    def in_force(self) -> list[str]:
        """Return the names of the nodes that report the version or a later one."""
        return self._instances_where(lambda node: node.version >= self.version)

    @property
    def unreachable(self) -> list[str]:
        """Return the names of the nodes without the version that repeatedly failed to answer."""
        return self._instances_where(
            lambda node: node.version < self.version and node.failures >= UNREACHABLE_AFTER_FAILURES
        )

    @property
    def behind(self) -> list[str]:
        """Return the names of the nodes without the version that are not unreachable."""
        excluded = {*self.in_force, *self.unreachable}
        return sorted(self.by_instance.keys() - excluded)

    def ahead_of(self, version: int) -> list[str]:
        """Return the names of the nodes that hold a later version than the given one."""
        return self._instances_where(lambda node: node.version > version)

    def _instances_where(self, condition: Callable[[NodeProgress], bool]) -> list[str]:
        return sorted(name for name, node in self.by_instance.items() if condition(node))


async def wait_for_rollout(
    client: PlatformClient,
    version: int,
    timeout_seconds: float,
    on_progress: Callable[[Rollout], None],
) -> Rollout:
    """Poll all nodes until every reachable one reports a version, or the timeout expires.

    ``on_progress`` is called after each poll.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_seconds
    rollout = Rollout(version)
    async with aiohttp.ClientSession(trust_env=False) as session:
        while True:
            await _discover_nodes(client, rollout)
            await _poll_nodes(session, rollout)
            on_progress(rollout)
            is_complete = rollout.in_force and not rollout.behind
            if is_complete or loop.time() >= deadline:
                return rollout
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def _discover_nodes(client: PlatformClient, rollout: Rollout) -> None:
    """List the announced nodes, unless some are known already."""
    if rollout.by_instance:
        return
    listing = await client.list(ANNOUNCEMENT_COLLECTION)
    if listing.is_err():
        return
    for item in listing.ok().objects:
        try:
            _add_node(rollout, msgspec.convert(item.value, Announcement))
        except msgspec.ValidationError:
            # The nodes log announcements that are invalid.
            continue


def _add_node(rollout: Rollout, announcement: Announcement) -> None:
    is_gone = announcement.state is InstanceState.GONE
    if not is_gone and announcement.instance not in rollout.by_instance:
        rollout.by_instance[announcement.instance] = NodeProgress(announcement.caller_address)


async def _poll_nodes(session: aiohttp.ClientSession, rollout: Rollout) -> None:
    semaphore = asyncio.Semaphore(CONCURRENT_REQUESTS_MAX)
    pending = [node for node in rollout.by_instance.values() if node.version < rollout.version]

    async def poll(node: NodeProgress) -> list[Announcement]:
        async with semaphore:
            return await _poll_node(session, node)

    for announcements in await asyncio.gather(*(poll(node) for node in pending)):
        # A node may know others whose announcements could not reach the platform.
        for announcement in announcements:
            _add_node(rollout, announcement)


async def _poll_node(session: aiohttp.ClientSession, node: NodeProgress) -> list[Announcement]:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
    try:
        # Refuse host names.
        ip_address(node.address.rpartition(":")[0].strip("[]"))
        url = f"http://{node.address}/_bamboo/state"
        async with session.get(url, timeout=timeout) as response:
            report = msgspec.json.decode(await response.read(), type=NodeStatePage)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
        node.failures += 1
        return []
    node.failures = 0
    node.version = report.table_version
    return report.upstreams
