"""The interface of the platform's object store, as the node uses it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from result import Result


class PlatformErrorKind(StrEnum):
    """Why a platform call returned no usable response."""

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    NOT_FOUND = "not-found"
    # The store no longer has the changes after the requested revision, so the collection has to be
    # listed again.
    COMPACTED = "compacted"
    MALFORMED = "malformed"
    LOST_ANSWER = "lost-answer"


@dataclass(slots=True, frozen=True)
class PlatformError:
    """A failed platform call; after ``LOST_ANSWER`` a write may have taken effect."""

    kind: PlatformErrorKind
    detail: str = ""


@dataclass(slots=True, frozen=True)
class PlatformObject:
    """One object of a collection; ``version`` is the store revision of its last write."""

    collection: str
    name: str
    version: int
    value: dict


@dataclass(slots=True, frozen=True)
class ObjectList:
    """All objects of a collection at a store revision."""

    revision: int
    objects: list[PlatformObject]


@dataclass(slots=True, frozen=True)
class WatchBatch:
    """The changes after a revision; ``deleted`` holds the names of deleted objects."""

    revision: int
    changed: list[PlatformObject]
    deleted: list[str]


class PlatformClient(ABC):
    """A client that reads, writes and watches objects of the platform's store.

    Methods return a platform failure as an ``Err`` and never raise it. The store revision counts
    all writes; an object's version is the revision that wrote it.
    """

    @abstractmethod
    async def get(self, collection: str, name: str) -> Result[PlatformObject, PlatformError]:
        """Read one object."""

    @abstractmethod
    async def list(
        self, collection: str, may_be_stale: bool = False
    ) -> Result[ObjectList, PlatformError]:
        """Read a whole collection.

        With ``may_be_stale`` the call is cheaper, and the list may be that of an older revision
        than the caller knows.
        """

    @abstractmethod
    async def put(
        self, collection: str, name: str, value: dict, expected_version: int
    ) -> Result[PlatformObject, PlatformError]:
        """Write an object if it is still at ``expected_version``.

        ``expected_version`` 0 means that the object must not exist yet.
        """

    @abstractmethod
    async def delete(
        self, collection: str, name: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Delete an object if it is still at ``expected_version``."""

    @abstractmethod
    async def watch(
        self,
        collection: str,
        after_revision: int,
        wait_seconds: float,
        may_be_stale: bool = False,
    ) -> Result[WatchBatch, PlatformError]:
        """Wait up to ``wait_seconds`` for changes after a revision.

        An empty batch means that nothing changed in that time. With ``may_be_stale`` the call is
        cheaper, and changes may be seconds late; the revision of the batch may then be an older
        one than ``after_revision``.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""
