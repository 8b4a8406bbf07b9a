"""What nodes tell each other about the table and the instances, as the decisions see it."""

from dataclasses import dataclass

from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.table.deltas import Delta
from bamboojunction.core.table.rows import Table


@dataclass(slots=True, frozen=True)
class Summary:
    """Tell what the sender knows; one that is not an answer asks for the receiver's.

    ``address`` is the sender's, for a receiver that does not know it yet. ``platform_age`` is the
    time in seconds since the platform answered a node that the sender knows of, or None when that
    never happened.
    """

    table_version: int
    view_hash: int
    address: str = ""
    platform_age: float | None = None
    is_answer: bool = False


@dataclass(slots=True, frozen=True)
class BucketHashes:
    """Tell the hash of each bucket of instances, so that the receiver sends what differs."""

    hashes: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class BucketEntries:
    """Carry all that the sender knows of some buckets and ask for what it lacks."""

    buckets: frozenset[int]
    entries: tuple[Announcement, ...]


@dataclass(slots=True, frozen=True)
class News:
    """Carry announcements that the receiver may not know."""

    entries: tuple[Announcement, ...]


@dataclass(slots=True, frozen=True)
class WholeTable:
    """Carry a whole version of the table."""

    table: Table


@dataclass(slots=True, frozen=True)
class ChangedRows:
    """Carry the rows that changed between two versions of the table."""

    delta: Delta


@dataclass(slots=True, frozen=True)
class TableWanted:
    """Ask for the table in whole, as a delta did not fit."""

    version: int


@dataclass(slots=True, frozen=True)
class SilenceReport:
    """Report that an instance does not answer the sender, who monitors it."""

    instance: str
    incarnation: str


ExchangeMessage = (
    Summary
    | BucketHashes
    | BucketEntries
    | News
    | WholeTable
    | ChangedRows
    | TableWanted
    | SilenceReport
)


@dataclass(slots=True, frozen=True)
class Send:
    """Tell the driver to send a message to the node at an address."""

    address: str
    message: ExchangeMessage
