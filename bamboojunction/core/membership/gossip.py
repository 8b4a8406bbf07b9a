"""The gossip protocol by which nodes exchange the table and the membership view, without I/O."""

import random
from collections.abc import Callable, Iterable

from bamboojunction.core.membership.failure_detector import FailureDetector
from bamboojunction.core.membership.messages import (
    AnnouncementUpdate,
    BucketEntries,
    BucketHashes,
    ExchangeMessage,
    FullTable,
    FullTableRequest,
    OutgoingMessage,
    SilenceReport,
    StateSummary,
    TableDeltaUpdate,
)
from bamboojunction.core.membership.peer_selection import PeerSelector
from bamboojunction.core.membership.removal import RemovalPolicy
from bamboojunction.core.membership.ring import Ring
from bamboojunction.core.membership.table_propagation import TablePropagator, send_to
from bamboojunction.core.membership.view import (
    BUCKET_COUNT,
    Announcement,
    InstanceState,
    MembershipView,
    superseding,
    with_state,
)
from bamboojunction.core.table.holder import CurrentTable
from bamboojunction.core.table.rows import Table

GOSSIP_INTERVAL_SECONDS = 0.5
# A longer gap between two ticks means that this process was paused, so its peers were not silent.
TICK_GAP_MAX_SECONDS = 2.0
# Views that differ are compared bucket by bucket (anti-entropy) at most every
# COMPARE_INTERVAL_SECONDS. If this view has not changed for COMPARE_QUIET_SECONDS, they are
# compared at most that often.
COMPARE_QUIET_SECONDS = 0.5
COMPARE_INTERVAL_SECONDS = 2.0
SEED_INTERVAL_SECONDS = 10.0
REPORT_INTERVAL_SECONDS = 1.0
# Links to peers that were silent for this long are reopened, because the transport of an existing
# link may wait much longer before it retransmits.
RECONNECT_AFTER_SECONDS = 2.0
EXPIRY_CHECK_INTERVAL_SECONDS = 60.0
# Larger batches of announcements are not forwarded. They update a view that was far behind, and the
# peers already have them.
FORWARD_MAX_ENTRIES = 16
# An incarnation that started less than this ago supersedes others of its instance even if its
# clock is behind.
RECENT_START_SECONDS = 30.0


class GossipProtocol:
    """The state of the gossip protocol at one node.

    Methods take the current time in seconds. Those that return messages leave it to the caller to
    send them. ``on_view_changed`` is called when the view has changed, and ``on_own_changed`` when
    this node's own announcement has changed and has to be written to the platform.
    """

    def __init__(
        self,
        own_announcement: Announcement,
        view: MembershipView,
        current_table: CurrentTable,
        seeds: list[str],
        rng: random.Random,
        on_view_changed: Callable[[], None],
        on_own_changed: Callable[[], None],
    ):
        self.own_announcement = own_announcement
        self.view = view
        self.current_table = current_table
        self.ring = Ring(view, own_announcement.data_centre)
        self.detector = FailureDetector()
        self.removal_policy = RemovalPolicy(
            own_announcement.instance, self.ring, view, self.detector
        )
        self.peer_selector = PeerSelector(
            own_announcement.instance, self.ring, view, self.detector, rng
        )
        self._table_propagator = TablePropagator(view, current_table, self.peer_selector)
        self.is_superseded = False
        self._seeds = [address for address in seeds if address != own_announcement.address]
        self._random = rng
        self._on_view_changed = on_view_changed
        self._on_own_changed = on_own_changed
        self._pending_updates: dict[str, tuple[Announcement, str]] = {}
        self._started_at: float | None = None
        self._last_tick_at = 0.0
        self._view_changed_at = 0.0
        self._last_compared_at = 0.0
        self._seed_contacted_at = 0.0
        self._last_reported_at = 0.0
        self._expiry_checked_at = 0.0
        self._platform_answered_at: float | None = None
        view.merge(own_announcement)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Probe the next peer, report silent instances and forward new announcements.

        Call this every ``GOSSIP_INTERVAL_SECONDS``.
        """
        self._record_tick(now)
        messages = [
            *self._probe_next_peer(now),
            *self._contact_seed(now),
            *self._report_silent_instances(now),
        ]
        self._remove_expired(now)
        return messages + self.flush(now)

    def handle_message(
        self, peer: str, message: ExchangeMessage, now: float
    ) -> list[OutgoingMessage]:
        """Handle a message from a peer and return the messages to send in response."""
        self.detector.record_message(peer, now)
        match message:
            case StateSummary():
                return self._handle_summary(peer, message, now)
            case BucketHashes(hashes):
                return self._handle_bucket_hashes(peer, hashes, now)
            case BucketEntries(buckets, entries):
                return self._handle_bucket_entries(peer, buckets, entries, now)
            case AnnouncementUpdate(entries):
                self._merge_entries(entries, peer, now)
                return []
            case FullTable(table):
                return self.accept_table(table, now, source=peer)
            case TableDeltaUpdate():
                return self._table_propagator.accept_delta(peer, message, now)
            case FullTableRequest(version):
                return self._table_propagator.send_newer(peer, version)
            case SilenceReport(instance, incarnation):
                self.removal_policy.record_report(peer, instance, incarnation, now)
                return []

    def flush(self, now: float) -> list[OutgoingMessage]:
        """Return messages that forward each pending announcement to all peers but its source."""
        peers = self.peer_selector.current(now)
        if not self._pending_updates or not peers:
            return []
        updates = list(self._pending_updates.values())
        self._pending_updates.clear()
        messages: list[OutgoingMessage] = []
        for peer in peers:
            entries = tuple(entry for entry, source in updates if source != peer)
            messages += send_to(self.view, peer, AnnouncementUpdate(entries)) if entries else []
        return messages

    def announce(self, own_announcement: Announcement, now: float) -> None:
        """Replace this node's own announcement, and queue it for sending to the peers."""
        self.own_announcement = own_announcement
        self.view.merge(own_announcement)
        self._view_changed_at = now
        self._pending_updates[own_announcement.instance] = (
            own_announcement,
            own_announcement.instance,
        )
        self._on_own_changed()
        self._on_view_changed()

    def merge_announcements(self, entries: Iterable[Announcement], now: float) -> None:
        """Merge announcements that were read from the platform."""
        self._merge_entries(entries, "", now)

    def accept_table(self, table: Table, now: float, source: str = "") -> list[OutgoingMessage]:
        """Put a table in force if it is newer, and return the messages that propagate it."""
        return self._table_propagator.accept_table(table, source, now)

    def record_platform_answer(self, now: float) -> None:
        """Record that the platform answered this node."""
        self._platform_answered_at = now

    def platform_age(self, now: float) -> float | None:
        """Return the seconds since the platform last answered any node, or None if unknown."""
        return None if self._platform_answered_at is None else now - self._platform_answered_at

    def watches_platform(self) -> bool:
        """Return whether this node watches the platform for changes on behalf of others."""
        return self.ring.watches_platform(self.own_announcement.instance)

    def is_first_monitor(self, entry: Announcement) -> bool:
        """Return whether this node is the first monitor of an instance.

        That is the direct predecessor of the instance on the ring.
        """
        is_same_data_centre = entry.data_centre == self.own_announcement.data_centre
        return is_same_data_centre and self.ring.monitors_of(entry.instance)[-1:] == [
            self.own_announcement.instance
        ]

    def addresses_to_reconnect(self, now: float) -> list[str]:
        """Return the addresses of the peers that were silent for ``RECONNECT_AFTER_SECONDS``."""
        silent = (
            self.view.by_instance[peer]
            for peer in self.peer_selector.current(now)
            if self.detector.silent_seconds(peer, now) >= RECONNECT_AFTER_SECONDS
        )
        return [entry.address for entry in silent]

    def _record_tick(self, now: float) -> None:
        if self._started_at is None:
            self._started_at = self._last_tick_at = self._expiry_checked_at = now
            self._seed_contacted_at = now - SEED_INTERVAL_SECONDS
        if now - self._last_tick_at > TICK_GAP_MAX_SECONDS:
            self.detector.reset()
        self._last_tick_at = now

    def _probe_next_peer(self, now: float) -> list[OutgoingMessage]:
        peer = self.peer_selector.next_to_probe(now)
        if peer is None:
            return []
        self.detector.record_probe(peer, now)
        return send_to(self.view, peer, self._build_summary(now, is_answer=False))

    def _contact_seed(self, now: float) -> list[OutgoingMessage]:
        is_alone = len(self.view.present()) <= 1
        if not self._seeds or not (
            is_alone or now - self._seed_contacted_at >= SEED_INTERVAL_SECONDS
        ):
            return []
        self._seed_contacted_at = now
        known = {entry.address for entry in self.view.present()}
        unknown = [address for address in self._seeds if address not in known]
        if not unknown:
            return []
        address = self._random.choice(unknown)
        summary = self._build_summary(now, is_answer=False)
        return [
            OutgoingMessage(address, self._build_join_request()),
            OutgoingMessage(address, summary),
        ]

    def _build_join_request(self) -> BucketEntries:
        """Return a message that requests all entries, for a node that is not in the view."""
        return BucketEntries(frozenset(range(BUCKET_COUNT)), (self.own_announcement,))

    def _report_silent_instances(self, now: float) -> list[OutgoingMessage]:
        if now - self._last_reported_at < REPORT_INTERVAL_SECONDS:
            return []
        self._last_reported_at = now
        messages: list[OutgoingMessage] = []
        for entry in self.removal_policy.silent_instances(now):
            if self.removal_policy.should_remove(entry, now):
                self._merge_entries([with_state(entry, InstanceState.GONE)], "", now)
                continue
            report = SilenceReport(entry.instance, entry.incarnation)
            for monitor in self.removal_policy.other_monitors_of(entry.instance):
                messages += send_to(self.view, monitor, report)
        return messages

    def _remove_expired(self, now: float) -> None:
        if now - self._expiry_checked_at < EXPIRY_CHECK_INTERVAL_SECONDS:
            return
        self._expiry_checked_at = now
        expired = self.removal_policy.expired(now)
        self._merge_entries([with_state(entry, InstanceState.GONE) for entry in expired], "", now)
        self.removal_policy.purge_tombstones(now)

    def _build_summary(self, now: float, is_answer: bool) -> StateSummary:
        version = self.current_table.table.version
        age = self.platform_age(now)
        return StateSummary(
            version, self.view.total_hash(), self.own_announcement.address, age, is_answer
        )

    def _handle_summary(
        self, peer: str, summary: StateSummary, now: float
    ) -> list[OutgoingMessage]:
        self._record_platform_age(summary.platform_age, now)
        if peer not in self.view.by_instance:
            return (
                [OutgoingMessage(summary.address, self._build_join_request())]
                if summary.address
                else []
            )
        messages: list[OutgoingMessage] = []
        if not summary.is_answer:
            messages += send_to(self.view, peer, self._build_summary(now, is_answer=True))
        if summary.table_version < self.current_table.table.version:
            messages += self._table_propagator.send_newer(peer, summary.table_version)
        if not summary.is_answer and self._view_differs(summary) and self._is_comparison_due(now):
            self._last_compared_at = now
            messages += send_to(self.view, peer, BucketHashes(tuple(self.view.bucket_hashes)))
        return messages

    def _view_differs(self, summary: StateSummary) -> bool:
        return summary.view_hash != self.view.total_hash()

    def _record_platform_age(self, age: float | None, now: float) -> None:
        if age is None:
            return
        answered_at = now - max(age, 0.0)
        if self._platform_answered_at is None or answered_at > self._platform_answered_at:
            self._platform_answered_at = answered_at

    def _is_comparison_due(self, now: float) -> bool:
        is_quiet = now - self._view_changed_at >= COMPARE_QUIET_SECONDS
        elapsed = now - self._last_compared_at
        return elapsed >= COMPARE_INTERVAL_SECONDS or (
            is_quiet and elapsed >= COMPARE_QUIET_SECONDS
        )

    def _handle_bucket_hashes(
        self, peer: str, hashes: tuple[int, ...], now: float
    ) -> list[OutgoingMessage]:
        pairs = enumerate(zip(hashes, self.view.bucket_hashes, strict=False))
        buckets = frozenset(
            number for number, (peer_hash, own_hash) in pairs if peer_hash != own_hash
        )
        if not buckets:
            return []
        entries = tuple(self.view.in_buckets(buckets))
        return send_to(self.view, peer, BucketEntries(buckets, entries))

    def _handle_bucket_entries(
        self,
        peer: str,
        buckets: frozenset[int],
        entries: tuple[Announcement, ...],
        now: float,
    ) -> list[OutgoingMessage]:
        self._merge_entries(entries, peer, now)
        received_sort_keys = {entry.instance: entry.order for entry in entries}
        newer = [
            entry
            for entry in self.view.in_buckets(buckets)
            if entry.order > received_sort_keys.get(entry.instance, ())
        ]
        gone = [
            self.view.by_instance[entry.instance]
            for entry in entries
            if self.view.by_instance[entry.instance].is_gone
        ]
        updates = tuple(newer + gone)
        return send_to(self.view, peer, AnnouncementUpdate(updates)) if updates else []

    def _merge_entries(self, entries: Iterable[Announcement], source: str, now: float) -> None:
        accepted = [entry for entry in entries if self._merge_entry(entry, now)]
        if not accepted:
            return
        if len(accepted) <= FORWARD_MAX_ENTRIES:
            self._pending_updates.update({entry.instance: (entry, source) for entry in accepted})
        self._on_view_changed()

    def _merge_entry(self, entry: Announcement, now: float) -> bool:
        if entry.instance == self.own_announcement.instance and self._should_refute(entry, now):
            self.announce(superseding(self.own_announcement, entry), now)
            return False
        known = self.view.by_instance.get(entry.instance)
        if not self.view.merge(entry):
            return False
        self._view_changed_at = now
        self.removal_policy.record_update(known, entry, now)
        return True

    def _should_refute(self, entry: Announcement, now: float) -> bool:
        """Return whether to contradict an announcement of this instance by another node.

        An incarnation that did not start recently accepts that another one has superseded it.
        In that case, ``is_superseded`` is set.
        """
        if entry.order <= self.own_announcement.order or self.is_superseded:
            return False
        is_recently_started = (
            self._started_at is None or now - self._started_at < RECENT_START_SECONDS
        )
        self.is_superseded = (
            entry.incarnation != self.own_announcement.incarnation and not is_recently_started
        )
        return not self.is_superseded
