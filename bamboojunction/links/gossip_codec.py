"""Conversion between link messages and the gossip messages of membership and the table."""

import struct
from ipaddress import ip_address

from result import Err, Ok, Result

from bamboojunction.core.membership.messages import (
    AnnouncementUpdate,
    BucketEntries,
    BucketHashes,
    ExchangeMessage,
    FullTable,
    FullTableRequest,
    SilenceReport,
    StateSummary,
    TableDeltaUpdate,
)
from bamboojunction.core.membership.view import BUCKET_COUNT, Announcement, InstanceState
from bamboojunction.core.table.csvfile import parse_table
from bamboojunction.core.table.deltas import Delta
from bamboojunction.core.table.render import render_table
from bamboojunction.links.messages import (
    AnyMessage,
    Digest,
    Entry,
    Silence,
    TableDelta,
    TableRequest,
    TableUpdate,
    ViewBuckets,
    ViewDelta,
    ViewHashes,
)

WIRE_TYPES = (
    Digest,
    ViewHashes,
    ViewBuckets,
    ViewDelta,
    TableUpdate,
    TableDelta,
    TableRequest,
    Silence,
)
# Sent as the platform's age when no node is known to have reached the platform.
NEVER_REACHED_AGE_SECONDS = -1.0
_HASHES_STRUCT = struct.Struct(f">{BUCKET_COUNT}I")


def to_wire(message: ExchangeMessage) -> AnyMessage:
    """Return the link message that carries a gossip message."""
    match message:
        case StateSummary(version, view_hash, address, age, is_answer):
            wire_age = NEVER_REACHED_AGE_SECONDS if age is None else round(age, 1)
            return Digest(version, view_hash, address, wire_age, is_answer)
        case BucketHashes(hashes):
            return ViewHashes(_HASHES_STRUCT.pack(*hashes))
        case BucketEntries(buckets, entries):
            return ViewBuckets(bytes(sorted(buckets)), [_to_entry(entry) for entry in entries])
        case AnnouncementUpdate(entries):
            return ViewDelta([_to_entry(entry) for entry in entries])
        case FullTable(table):
            return TableUpdate(table.version, table.edit_id, render_table(table))
        case TableDeltaUpdate(delta):
            return _to_table_delta(delta)
        case FullTableRequest(version):
            return TableRequest(version)
        case SilenceReport(instance, incarnation):
            return Silence(instance, incarnation)


def from_wire(message: AnyMessage) -> Result[ExchangeMessage, str]:
    """Return the gossip message that a link message carries, or why it is malformed."""
    try:
        return _from_wire(message)
    except (ValueError, struct.error) as error:
        return Err(f"malformed {type(message).__name__}: {error}")


def _from_wire(message: AnyMessage) -> Result[ExchangeMessage, str]:
    match message:
        case Digest(version, view_hash, address, age, is_answer):
            known_age = None if age < 0 else age
            if address:
                _check_address(address)
            return Ok(StateSummary(version, view_hash, address, known_age, is_answer))
        case ViewHashes(hashes):
            return Ok(BucketHashes(_HASHES_STRUCT.unpack(hashes)))
        case ViewBuckets(buckets, entries):
            return Ok(BucketEntries(frozenset(buckets), _from_entries(entries)))
        case ViewDelta(entries):
            return Ok(AnnouncementUpdate(_from_entries(entries)))
        case TableUpdate(version, edit_id, text):
            table = parse_table(text, version, edit_id)
            return table.map(FullTable).map_err(lambda problems: str(problems[0]))
        case TableDelta():
            return Ok(TableDeltaUpdate(_from_table_delta(message)))
        case TableRequest(version):
            return Ok(FullTableRequest(version))
        case Silence(instance, incarnation):
            return Ok(SilenceReport(instance, incarnation))
    return Err(f"{type(message).__name__} is not a gossip message")


def _check_address(address: str) -> None:
    """Raise ValueError unless the address is an IP address and a port; names are not resolved."""
    host, _, port = address.rpartition(":")
    ip_address(host.strip("[]"))
    if not port.isdecimal():
        raise ValueError(f"{address!r} is not an ip:port address")


def _to_entry(entry: Announcement) -> Entry:
    return Entry(
        entry.instance,
        entry.incarnation,
        entry.service,
        entry.data_centre,
        entry.region,
        entry.address,
        entry.started_at,
        entry.sequence,
        entry.state.value,
        entry.caller_address,
    )


def _from_entries(entries: list[Entry]) -> tuple[Announcement, ...]:
    for entry in entries:
        _check_address(entry.address)
    return tuple(
        Announcement(
            instance=entry.instance,
            incarnation=entry.incarnation,
            service=entry.service,
            data_centre=entry.data_centre,
            region=entry.region,
            address=entry.address,
            started_at=entry.started_at,
            sequence=entry.sequence,
            state=InstanceState(entry.state),
            caller_address=entry.caller_address,
        )
        for entry in entries
    )


def _to_table_delta(delta: Delta) -> TableDelta:
    return TableDelta(
        delta.base_version,
        delta.version,
        delta.edit_id,
        list(delta.changed),
        list(delta.removed),
        delta.content_hash,
    )


def _from_table_delta(message: TableDelta) -> Delta:
    return Delta(
        base_version=message.base_version,
        version=message.version,
        edit_id=message.edit_id,
        changed=tuple(message.changed),
        removed=tuple(message.removed),
        content_hash=message.content_hash,
    )
