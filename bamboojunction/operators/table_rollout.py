"""Waiting until a version of the table is in force at every node that can be reached."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from ipaddress import ip_address

import aiohttp
import msgspec

from bamboojunction.core.membership.view import COLLECTION, Announcement, InstanceState
from bamboojunction.platform.client import PlatformClient

POLL_SECONDS = 0.3
REQUEST_SECONDS = 1.0
REQUESTS_AT_ONCE = 50
# A node counts as unreachable after so many failed requests in a row.
UNREACHABLE_REQUESTS = 2


class NodeReport(msgspec.Struct, frozen=True):
    """Name the fields of a node's state page that matter here."""

    instance: str
    table_version: int
    upstreams: list[Announcement] = []


@dataclass(slots=True)
class NodeProgress:
    """Hold what is known of one node; the version is -1 before its first report."""

    address: str
    version: int = -1
    failures: int = 0


@dataclass(slots=True)
class Rollout:
    """Hold the progress of all nodes towards a version."""

    version: int
    by_instance: dict[str, NodeProgress] = field(default_factory=dict)

    @property
    def in_force(self) -> list[str]:
        """Return the nodes that report the version or a later one."""
        return self._named(lambda node: node.version >= self.version)

    @property
    def unreachable(self) -> list[str]:
        """Return the nodes that do not answer."""
        return self._named(
            lambda node: node.version < self.version and node.failures >= UNREACHABLE_REQUESTS
        )

    @property
    def behind(self) -> list[str]:
        """Return the nodes that answer, or may still, and do not have the version."""
        others = {*self.in_force, *self.unreachable}
        return sorted(self.by_instance.keys() - others)

    def ahead_of(self, version: int) -> list[str]:
        """Return the nodes that hold a later version than one."""
        return self._named(lambda node: node.version > version)

    def _named(self, condition: Callable[[NodeProgress], bool]) -> list[str]:
        return sorted(name for name, node in self.by_instance.items() if condition(node))


async def wait_in_force(
    client: PlatformClient,
    version: int,
    timeout_seconds: float,
    on_progress: Callable[[Rollout], None],
) -> Rollout:
    """Ask all announced nodes until each that can be reached reports a version."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_seconds
    rollout = Rollout(version)
    async with aiohttp.ClientSession(trust_env=False) as session:
        while True:
            await _find_nodes(client, rollout)
            await _ask_all(session, rollout)
            on_progress(rollout)
            is_done = rollout.in_force and not rollout.behind
            if is_done or loop.time() >= deadline:
                return rollout
            await asyncio.sleep(POLL_SECONDS)


async def _find_nodes(client: PlatformClient, rollout: Rollout) -> None:
    if rollout.by_instance:
        return
    listed = await client.list(COLLECTION)
    if listed.is_err():
        return
    for item in listed.ok().objects:
        try:
            _add_node(rollout, msgspec.convert(item.value, Announcement))
        except msgspec.ValidationError:
            # The node's own log tells of an announcement that cannot be read.
            continue


def _add_node(rollout: Rollout, announcement: Announcement) -> None:
    is_gone = announcement.state is InstanceState.GONE
    if not is_gone and announcement.instance not in rollout.by_instance:
        rollout.by_instance[announcement.instance] = NodeProgress(announcement.caller_address)


async def _ask_all(session: aiohttp.ClientSession, rollout: Rollout) -> None:
    limit = asyncio.Semaphore(REQUESTS_AT_ONCE)
    waiting = [node for node in rollout.by_instance.values() if node.version < rollout.version]

    async def ask(node: NodeProgress) -> list[Announcement]:
        async with limit:
            return await _ask(session, node)

    for known in await asyncio.gather(*(ask(node) for node in waiting)):
        # A node may know of others that could not announce themselves at the platform.
        for announcement in known:
            _add_node(rollout, announcement)


async def _ask(session: aiohttp.ClientSession, node: NodeProgress) -> list[Announcement]:
    timeout = aiohttp.ClientTimeout(total=REQUEST_SECONDS)
    try:
        ip_address(node.address.rpartition(":")[0].strip("[]"))
        url = f"http://{node.address}/_bamboo/state"
        async with session.get(url, timeout=timeout) as answer:
            report = msgspec.json.decode(await answer.read(), type=NodeReport)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
        node.failures += 1
        return []
    node.failures = 0
    node.version = report.table_version
    return report.upstreams
