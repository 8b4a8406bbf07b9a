"""Passing on of table versions to peers, as the rows that changed where that is enough."""

from bamboojunction.core.membership.messages import (
    ChangedRows,
    ExchangeMessage,
    Send,
    TableWanted,
    WholeTable,
)
from bamboojunction.core.membership.peers import Peers
from bamboojunction.core.membership.view import MembershipView
from bamboojunction.core.table.deltas import DeltaFailure
from bamboojunction.core.table.holder import TableHolder
from bamboojunction.core.table.rows import Table


def send_to(view: MembershipView, peer: str, message: ExchangeMessage) -> list[Send]:
    """Return the send of a message to a peer, or nothing if the view does not have it."""
    entry = view.by_instance.get(peer)
    return [Send(entry.address, message)] if entry is not None else []


class TableSharing:
    """Put newer tables in force and tell the peers of each at once."""

    __slots__ = ("_holder", "_peers", "_view")

    def __init__(self, view: MembershipView, holder: TableHolder, peers: Peers):
        self._view = view
        self._holder = holder
        self._peers = peers

    def offer(self, table: Table, source: str, now: float) -> list[Send]:
        """Take a whole table, from a peer or from the platform (an empty ``source``)."""
        before = self._holder.table.version
        return self._push(before, source, now) if self._holder.offer(table) else []

    def take_rows(self, peer: str, rows: ChangedRows, now: float) -> list[Send]:
        """Take the changed rows, or ask for the whole table when they do not fit."""
        before = self._holder.table.version
        result = self._holder.offer_delta(rows.delta)
        if result.is_ok():
            return self._push(before, peer, now)
        if result.err() is DeltaFailure.STALE:
            return []
        return send_to(self._view, peer, TableWanted(before))

    def send(self, peer: str, version: int) -> list[Send]:
        """Send what a peer that holds an older version lacks."""
        if version >= self._holder.table.version:
            return []
        delta = self._holder.delta_from(version)
        if delta is None or version == 0:
            return send_to(self._view, peer, WholeTable(self._holder.table))
        return send_to(self._view, peer, ChangedRows(delta))

    def _push(self, before: int, source: str, now: float) -> list[Send]:
        others = (peer for peer in self._peers.all(now) if peer != source)
        return [send for peer in others for send in self.send(peer, before)]
