"""The messages by which nodes exchange the table and the view, independent of the wire format."""

from dataclasses import dataclass

from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.table.deltas import Delta
from bamboojunction.core.table.rows import Table


@dataclass(slots=True, frozen=True)
class StateSummary:
    """A summary of the sender's table and view; it also serves as a probe and as the answer to one.

    A summary with ``is_answer`` unset asks the receiver for its own. ``address`` is the sender's,
    for a receiver that does not know it yet. ``platform_age`` is the time in seconds since the
    platform last answered any node, as far as the sender knows, or None if it never did.
    """

    table_version: int
    view_hash: int
    address: str = ""
    platform_age: float | None = None
    is_answer: bool = False


@dataclass(slots=True, frozen=True)
class BucketHashes:
    """The hash of each bucket of instances; the receiver answers with the buckets that differ."""

    hashes: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class BucketEntries:
    """The announcements in some buckets of the sender's view.

    The receiver answers with the newer announcements that it has for these buckets.
    """

    buckets: frozenset[int]
    entries: tuple[Announcement, ...]


@dataclass(slots=True, frozen=True)
class AnnouncementUpdate:
    """Announcements that the receiver may not know."""

    entries: tuple[Announcement, ...]


@dataclass(slots=True, frozen=True)
class FullTable:
    """A complete version of the table."""

    table: Table


@dataclass(slots=True, frozen=True)
class TableDeltaUpdate:
    """The rows that changed between two versions of the table."""

    delta: Delta


@dataclass(slots=True, frozen=True)
class FullTableRequest:
    """A request for the complete table, after a delta that could not be applied.

    ``version`` is the one that the sender holds.
    """

    version: int


@dataclass(slots=True, frozen=True)
class SilenceReport:
    """A report that an instance does not answer the sender, which is one of its monitors."""

    instance: str
    incarnation: str


ExchangeMessage = (
    StateSummary
    | BucketHashes
    | BucketEntries
    | AnnouncementUpdate
    | FullTable
    | TableDeltaUpdate
    | FullTableRequest
    | SilenceReport
)


@dataclass(slots=True, frozen=True)
class OutgoingMessage:
    """A message that the caller has to send to the node at an address."""

    address: str
    message: ExchangeMessage
