"""The role of a node among those that follow the store for their data centre."""

import asyncio

from bamboojunction.core.membership.ring import Ring
from bamboojunction.core.membership.standby import WatcherRole
from bamboojunction.core.membership.view import MembershipView
from bamboojunction.links.pool import LinkPool
from bamboojunction.platform_node.store_sync import StoreSync

# Nodes of each data centre that follow the configuration without allowing stale answers.
STORE_WATCHERS_PER_DATA_CENTRE = 2
# How often a node that stands by for them checks its links to them.
CHECK_INTERVAL_SECONDS = 0.4


class StoreWatchers:
    """The store watchers of a data centre, as one of its nodes sees them."""

    __slots__ = ("_links", "_ring", "_role", "_store_sync", "_view")

    def __init__(
        self,
        instance: str,
        data_centre: str,
        view: MembershipView,
        links: LinkPool,
        store_sync: StoreSync,
    ):
        self._role = WatcherRole(instance, STORE_WATCHERS_PER_DATA_CENTRE)
        self._ring = Ring(view, data_centre)
        self._view = view
        self._links = links
        self._store_sync = store_sync

    def update_instances(self) -> None:
        """Apply a change of the membership view to the role of this node."""
        self._role.update_instances(self._ring.instances())
        self._store_sync.set_store_watcher(self._role.is_watcher())

    async def check_reachability(self) -> None:
        """Take the place of watchers that cannot be reached while standing by; until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            by_instance = self._view.by_instance
            name_by_address = {
                by_instance[name].address: name
                for name in self._role.predecessors()
                if name in by_instance
            }
            unreachable = await self._links.keep_open(name_by_address)
            self._role.record_check(name_by_address[address] for address in unreachable)
            self._store_sync.set_store_watcher(self._role.is_watcher())
