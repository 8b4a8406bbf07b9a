"""The exchange of the table and the view between nodes, without input or output."""

import random
from collections.abc import Callable, Iterable

from bamboojunction.core.membership.liveness import Liveness
from bamboojunction.core.membership.messages import (
    BucketEntries,
    BucketHashes,
    ChangedRows,
    ExchangeMessage,
    News,
    Send,
    SilenceReport,
    Summary,
    TableWanted,
    WholeTable,
)
from bamboojunction.core.membership.peers import Peers
from bamboojunction.core.membership.removal import Removal
from bamboojunction.core.membership.ring import Ring
from bamboojunction.core.membership.sharing import TableSharing, send_to
from bamboojunction.core.membership.view import (
    BUCKETS,
    Announcement,
    InstanceState,
    MembershipView,
    superseding,
    with_state,
)
from bamboojunction.core.table.holder import TableHolder
from bamboojunction.core.table.rows import Table

TICK_SECONDS = 0.5
# A longer gap between two ticks means that this process was paused.
PAUSE_SECONDS = 2.0
# Buckets are compared when the view has been quiet for this long, or at least this often.
QUIET_SECONDS = 0.5
COMPARE_SECONDS = 2.0
SEED_SECONDS = 10.0
REPORT_INTERVAL_SECONDS = 1.0
# The transport of a peer that was unreachable this long may wait much longer before it sends again.
RELINK_SECONDS = 2.0
HOUSEKEEPING_SECONDS = 60.0
# Announcements that come in larger numbers repair a view that was far behind; the peers have them.
RUMOR_MAX_ENTRIES = 16
# An incarnation this young outranks an older one of its instance, whatever their clocks say.
YOUNG_SECONDS = 30.0


class Exchange:
    """Decide what to tell which peer.

    Every method takes the time in seconds and returns the messages that the driver sends.
    ``on_view`` is called after the view changed, and ``on_own`` after this node's own announcement
    changed and has to be written to the platform.
    """

    def __init__(
        self,
        own: Announcement,
        view: MembershipView,
        holder: TableHolder,
        seeds: list[str],
        generator: random.Random,
        on_view: Callable[[], None],
        on_own: Callable[[], None],
    ):
        self.own = own
        self.view = view
        self.holder = holder
        self.ring = Ring(view, own.data_centre)
        self.liveness = Liveness()
        self.removal = Removal(own.instance, self.ring, view, self.liveness)
        self.peers = Peers(own.instance, self.ring, view, self.liveness, generator)
        self._tables = TableSharing(view, holder, self.peers)
        self.is_superseded = False
        self._seeds = [address for address in seeds if address != own.address]
        self._random = generator
        self._on_view = on_view
        self._on_own = on_own
        self._outbox: dict[str, tuple[Announcement, str]] = {}
        self._started_at: float | None = None
        self._ticked_at = 0.0
        self._changed_at = 0.0
        self._compared_at = 0.0
        self._seeded_at = 0.0
        self._reported_at = 0.0
        self._cleaned_at = 0.0
        self._platform_at: float | None = None
        view.merge(own)

    def tick(self, now: float) -> list[Send]:
        """Probe the next peer, report silent ones, and pass on what is new."""
        self._note_time(now)
        sends = [*self._probe(now), *self._ask_seeds(now), *self._report_silent(now)]
        self._clean(now)
        return sends + self.flush(now)

    def take(self, peer: str, message: ExchangeMessage, now: float) -> list[Send]:
        """Handle a message of a peer."""
        self.liveness.heard(peer, now)
        match message:
            case Summary():
                return self._take_summary(peer, message, now)
            case BucketHashes(hashes):
                return self._take_hashes(peer, hashes, now)
            case BucketEntries(buckets, entries):
                return self._take_buckets(peer, buckets, entries, now)
            case News(entries):
                self._merge(entries, peer, now)
                return []
            case WholeTable(table):
                return self.offer_table(table, now, source=peer)
            case ChangedRows():
                return self._tables.take_rows(peer, message, now)
            case TableWanted(version):
                return self._tables.send(peer, version)
            case SilenceReport(instance, incarnation):
                self.removal.reported(peer, instance, incarnation, now)
                return []

    def flush(self, now: float) -> list[Send]:
        """Pass on the announcements that are new, to the peers that did not send them."""
        peers = self.peers.all(now)
        if not self._outbox or not peers:
            return []
        outbox = list(self._outbox.values())
        self._outbox.clear()
        sends: list[Send] = []
        for peer in peers:
            entries = tuple(entry for entry, source in outbox if source != peer)
            sends += send_to(self.view, peer, News(entries)) if entries else []
        return sends

    def announce(self, own: Announcement, now: float) -> None:
        """Replace this node's own announcement."""
        self.own = own
        self.view.merge(own)
        self._changed_at = now
        self._outbox[own.instance] = (own, own.instance)
        self._on_own()
        self._on_view()

    def take_announcements(self, entries: Iterable[Announcement], now: float) -> None:
        """Merge what the platform holds."""
        self._merge(entries, "", now)

    def offer_table(self, table: Table, now: float, source: str = "") -> list[Send]:
        """Put a newer table in force and pass it on at once."""
        return self._tables.offer(table, source, now)

    def platform_answered(self, now: float) -> None:
        """Record that the platform is reachable."""
        self._platform_at = now

    def platform_age(self, now: float) -> float | None:
        """Return the time since the platform answered this node or one that it knows of."""
        return None if self._platform_at is None else now - self._platform_at

    def watches_platform(self) -> bool:
        """Return whether this node waits for changes at the platform on behalf of others."""
        return self.ring.watches_platform(self.own.instance)

    def is_first_monitor(self, entry: Announcement) -> bool:
        """Return whether this node is the first of those that watch an instance."""
        is_near = entry.data_centre == self.own.data_centre
        return is_near and self.ring.monitors_of(entry.instance)[-1:] == [self.own.instance]

    def silent_addresses(self, now: float) -> list[str]:
        """Return the addresses of the peers whose links should be opened anew."""
        silent = (
            self.view.by_instance[peer]
            for peer in self.peers.all(now)
            if self.liveness.silent_seconds(peer, now) >= RELINK_SECONDS
        )
        return [entry.address for entry in silent]

    def _note_time(self, now: float) -> None:
        if self._started_at is None:
            self._started_at = self._ticked_at = self._cleaned_at = now
            self._seeded_at = now - SEED_SECONDS
        if now - self._ticked_at > PAUSE_SECONDS:
            self.liveness.reset()
        self._ticked_at = now

    def _probe(self, now: float) -> list[Send]:
        peer = self.peers.next(now)
        if peer is None:
            return []
        self.liveness.probed(peer, now)
        return send_to(self.view, peer, self._summary(now, is_answer=False))

    def _ask_seeds(self, now: float) -> list[Send]:
        is_alone = len(self.view.present()) <= 1
        if not self._seeds or not (is_alone or now - self._seeded_at >= SEED_SECONDS):
            return []
        self._seeded_at = now
        known = {entry.address for entry in self.view.present()}
        unknown = [address for address in self._seeds if address not in known]
        if not unknown:
            return []
        address = self._random.choice(unknown)
        summary = self._summary(now, is_answer=False)
        return [Send(address, self._introduction()), Send(address, summary)]

    def _introduction(self) -> BucketEntries:
        """Return a message to a node that is not in the view: it answers with all that it knows."""
        return BucketEntries(frozenset(range(BUCKETS)), (self.own,))

    def _report_silent(self, now: float) -> list[Send]:
        if now - self._reported_at < REPORT_INTERVAL_SECONDS:
            return []
        self._reported_at = now
        sends: list[Send] = []
        for entry in self.removal.silent(now):
            if self.removal.is_gone(entry, now):
                self._merge([with_state(entry, InstanceState.GONE)], "", now)
                continue
            report = SilenceReport(entry.instance, entry.incarnation)
            for monitor in self.removal.other_monitors(entry.instance):
                sends += send_to(self.view, monitor, report)
        return sends

    def _clean(self, now: float) -> None:
        if now - self._cleaned_at < HOUSEKEEPING_SECONDS:
            return
        self._cleaned_at = now
        lost = self.removal.without_news(now)
        self._merge([with_state(entry, InstanceState.GONE) for entry in lost], "", now)
        self.removal.forget_gone(now)

    def _summary(self, now: float, is_answer: bool) -> Summary:
        version = self.holder.table.version
        age = self.platform_age(now)
        return Summary(version, self.view.total_hash(), self.own.address, age, is_answer)

    def _take_summary(self, peer: str, summary: Summary, now: float) -> list[Send]:
        self._note_platform_age(summary.platform_age, now)
        if peer not in self.view.by_instance:
            return [Send(summary.address, self._introduction())] if summary.address else []
        sends: list[Send] = []
        if not summary.is_answer:
            sends += send_to(self.view, peer, self._summary(now, is_answer=True))
        if summary.table_version < self.holder.table.version:
            sends += self._tables.send(peer, summary.table_version)
        if not summary.is_answer and self._differs(summary) and self._may_compare(now):
            self._compared_at = now
            sends += send_to(self.view, peer, BucketHashes(tuple(self.view.hashes)))
        return sends

    def _differs(self, summary: Summary) -> bool:
        return summary.view_hash != self.view.total_hash()

    def _note_platform_age(self, age: float | None, now: float) -> None:
        if age is None:
            return
        answered_at = now - max(age, 0.0)
        if self._platform_at is None or answered_at > self._platform_at:
            self._platform_at = answered_at

    def _may_compare(self, now: float) -> bool:
        is_quiet = now - self._changed_at >= QUIET_SECONDS
        since_compared = now - self._compared_at
        return since_compared >= COMPARE_SECONDS or (is_quiet and since_compared >= QUIET_SECONDS)

    def _take_hashes(self, peer: str, hashes: tuple[int, ...], now: float) -> list[Send]:
        pairs = enumerate(zip(hashes, self.view.hashes, strict=False))
        buckets = frozenset(number for number, (theirs, own) in pairs if theirs != own)
        if not buckets:
            return []
        entries = tuple(self.view.in_buckets(buckets))
        return send_to(self.view, peer, BucketEntries(buckets, entries))

    def _take_buckets(
        self,
        peer: str,
        buckets: frozenset[int],
        entries: tuple[Announcement, ...],
        now: float,
    ) -> list[Send]:
        self._merge(entries, peer, now)
        order_by_instance = {entry.instance: entry.order for entry in entries}
        missing = [
            entry
            for entry in self.view.in_buckets(buckets)
            if entry.order > order_by_instance.get(entry.instance, ())
        ]
        gone = [
            self.view.by_instance[entry.instance]
            for entry in entries
            if self.view.by_instance[entry.instance].is_gone
        ]
        later = tuple(missing + gone)
        return send_to(self.view, peer, News(later)) if later else []

    def _merge(self, entries: Iterable[Announcement], source: str, now: float) -> None:
        accepted = [entry for entry in entries if self._accept(entry, now)]
        if not accepted:
            return
        if len(accepted) <= RUMOR_MAX_ENTRIES:
            self._outbox.update({entry.instance: (entry, source) for entry in accepted})
        self._on_view()

    def _accept(self, entry: Announcement, now: float) -> bool:
        if entry.instance == self.own.instance and self._refutes(entry, now):
            self.announce(superseding(self.own, entry), now)
            return False
        before = self.view.by_instance.get(entry.instance)
        if not self.view.merge(entry):
            return False
        self._changed_at = now
        self.removal.noted(before, entry, now)
        return True

    def _refutes(self, entry: Announcement, now: float) -> bool:
        """Return whether to contradict what others say of this instance.

        An incarnation that has run for a while accepts that a younger one replaced it.
        """
        if entry.order <= self.own.order or self.is_superseded:
            return False
        is_young = self._started_at is None or now - self._started_at < YOUNG_SECONDS
        self.is_superseded = entry.incarnation != self.own.incarnation and not is_young
        return not self.is_superseded
