"""Propagation of table versions to peers, as deltas where possible."""

from bamboojunction.core.membership.messages import (
    ExchangeMessage,
    FullTable,
    FullTableRequest,
    OutgoingMessage,
    TableDeltaUpdate,
)
from bamboojunction.core.membership.peer_selection import PeerSelector
from bamboojunction.core.membership.view import MembershipView
from bamboojunction.core.table.deltas import DeltaFailure
from bamboojunction.core.table.holder import CurrentTable
from bamboojunction.core.table.rows import Table


def send_to(view: MembershipView, peer: str, message: ExchangeMessage) -> list[OutgoingMessage]:
    """Return the message addressed to a peer, or an empty list if the peer is not in the view."""
    entry = view.by_instance.get(peer)
    return [OutgoingMessage(entry.address, message)] if entry is not None else []


class TablePropagator:
    """Puts newer tables in force and propagates each to the peers immediately."""

    __slots__ = ("_current_table", "_peer_selector", "_view")

    def __init__(
        self, view: MembershipView, current_table: CurrentTable, peer_selector: PeerSelector
    ):
        self._view = view
        self._current_table = current_table
        self._peer_selector = peer_selector

    def accept_table(self, table: Table, source: str, now: float) -> list[OutgoingMessage]:
        """Put a table in force if it is newer; ``source`` is a peer or, if empty, the platform."""
        previous_version = self._current_table.table.version
        return (
            self._push(previous_version, source, now)
            if self._current_table.replace_if_newer(table)
            else []
        )

    def accept_delta(
        self, peer: str, message: TableDeltaUpdate, now: float
    ) -> list[OutgoingMessage]:
        """Apply a delta from a peer, or request the whole table if it cannot be applied."""
        previous_version = self._current_table.table.version
        result = self._current_table.replace_by_delta(message.delta)
        if result.is_ok():
            return self._push(previous_version, peer, now)
        if result.err() is DeltaFailure.STALE:
            return []
        return send_to(self._view, peer, FullTableRequest(previous_version))

    def send_newer(self, peer: str, version: int) -> list[OutgoingMessage]:
        """Return the table or the delta that updates a peer with an older version."""
        if version >= self._current_table.table.version:
            return []
        delta = self._current_table.delta_from(version)
        if delta is None or version == 0:
            return send_to(self._view, peer, FullTable(self._current_table.table))
        return send_to(self._view, peer, TableDeltaUpdate(delta))

    def _push(self, previous_version: int, source: str, now: float) -> list[OutgoingMessage]:
        receivers = (peer for peer in self._peer_selector.current(now) if peer != source)
        return [
            message for peer in receivers for message in self.send_newer(peer, previous_version)
        ]
