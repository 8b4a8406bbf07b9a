"""A task that follows one collection of the platform's store by a list and long polls."""

import asyncio
import random
from collections.abc import Callable

from result import Err, Ok, Result

from bamboojunction.core.retries.exponential_backoff import ExponentialBackoff
from bamboojunction.platform.client import (
    ObjectList,
    PlatformClient,
    PlatformError,
    PlatformErrorKind,
    PlatformObject,
    WatchBatch,
)
from bamboojunction.telemetry.events import EventLog

# Bounds on the wait of a watch: an idle one should not return too often, and the store allows no
# longer wait.
WATCH_SECONDS_MIN = 5.0
WATCH_SECONDS_MAX = 30.0
# Part of the store's history after which a watch ends. Its response moves the revision on, so that
# the next watch does not start from a revision that the store has forgotten.
WATCH_HISTORY_SHARE = 0.75
# Limits of the backoff after a failed call. The platform charges for failed calls too. The maximum
# lets a node write its announcement again soon after the store recovers, before other nodes
# consider the node gone.
RETRY_SECONDS_MIN = 0.2
RETRY_SECONDS_MAX = 0.9


class CollectionFollower:
    """A task that lists one collection of the store and then watches it for changes.

    ``may_be_stale`` tells whether the next watch may be answered by a replica that lags, which
    costs less. With ``first_list_may_be_stale`` that also holds for the list before it. A watch
    only has changes after the revision known here and later lists are current, so nothing is
    reverted.
    ``on_change`` gets the changed objects, the names of the deleted ones, and whether the objects
    are all of the collection.
    """

    __slots__ = (
        "_backoff",
        "_batch_seconds",
        "_client",
        "_collection",
        "_events",
        "_is_listed",
        "_is_reachable",
        "_list_may_be_stale",
        "_may_be_stale",
        "_on_change",
        "_revision",
        "_watch_seconds",
    )

    def __init__(
        self,
        collection: str,
        batch_seconds: float,
        history_seconds: float,
        client: PlatformClient,
        rng: random.Random,
        events: EventLog,
        on_change: Callable[[list[PlatformObject], list[str], bool], None],
        may_be_stale: Callable[[], bool],
        first_list_may_be_stale: bool,
    ):
        self._collection = collection
        self._batch_seconds = batch_seconds
        self._watch_seconds = max(
            WATCH_SECONDS_MIN, min(WATCH_SECONDS_MAX, WATCH_HISTORY_SHARE * history_seconds)
        )
        self._client = client
        self._backoff = ExponentialBackoff(RETRY_SECONDS_MIN, RETRY_SECONDS_MAX, rng)
        self._events = events
        self._on_change = on_change
        self._may_be_stale = may_be_stale
        self._list_may_be_stale = first_list_may_be_stale
        self._revision = 0
        self._is_listed = False
        self._is_reachable: bool | None = None

    async def run(self) -> None:
        """Follow the collection until cancelled; back off after a failure."""
        while True:
            match await self._call():
                case Ok(ObjectList(revision, objects)):
                    self._record_reachability(True)
                    self._revision, self._is_listed = revision, True
                    self._list_may_be_stale = False
                    self._on_change(objects, [], True)
                case Ok(WatchBatch(revision, changed, deleted)):
                    self._revision = max(self._revision, revision)
                    self._record_reachability(True)
                    self._on_change(changed, deleted, False)
                    await asyncio.sleep(self._batch_seconds)
                case Err(error) if error.kind is PlatformErrorKind.COMPACTED:
                    self._is_listed = False
                case Err(error):
                    self._record_reachability(False, f"{error.kind}: {error.detail}")
                    await asyncio.sleep(self._backoff.next_delay())

    async def _call(self) -> Result[ObjectList | WatchBatch, PlatformError]:
        if not self._is_listed:
            self._events.store_called(self._collection, "list", self._list_may_be_stale)
            return await self._client.list(self._collection, self._list_may_be_stale)
        # After a failure, do not wait for changes, so that the response shows at once that the
        # store is reachable again. The cheaper call is enough for that.
        wait_seconds = self._watch_seconds if self._is_reachable else 0.0
        may_be_stale = self._may_be_stale() or not self._is_reachable
        self._events.store_called(self._collection, "watch", may_be_stale)
        return await self._client.watch(
            self._collection, self._revision, wait_seconds, may_be_stale
        )

    def _record_reachability(self, is_reachable: bool, detail: str = "") -> None:
        if is_reachable:
            self._backoff.reset()
        if is_reachable is not self._is_reachable:
            self._is_reachable = is_reachable
            self._events.store_reachability_changed(self._collection, is_reachable, detail)
