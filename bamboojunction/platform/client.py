"""The platform's object API as the node uses it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from result import Result


class PlatformErrorKind(StrEnum):
    """Say why a platform call gave no answer that can be used."""

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    NOT_FOUND = "not-found"
    COMPACTED = "compacted"
    MALFORMED = "malformed"
    LOST_ANSWER = "lost-answer"


@dataclass(slots=True, frozen=True)
class PlatformError:
    """Describe a failed platform call; a lost answer may have taken effect."""

    kind: PlatformErrorKind
    detail: str = ""


@dataclass(slots=True, frozen=True)
class PlatformObject:
    """Hold one object of a collection; ``version`` is the platform's, from 1."""

    collection: str
    name: str
    version: int
    value: dict


@dataclass(slots=True, frozen=True)
class ObjectList:
    """Hold a whole collection as of the store's revision."""

    revision: int
    objects: list[PlatformObject]


@dataclass(slots=True, frozen=True)
class WatchBatch:
    """Hold the objects that changed after a revision; ``deleted`` names removed objects."""

    revision: int
    changed: list[PlatformObject]
    deleted: list[str]


class PlatformClient(ABC):
    """Read, write and watch objects; every method returns a value, never raises for the platform.

    One store revision counts all writes; an object's version is the revision that wrote it.
    """

    @abstractmethod
    async def get(self, collection: str, name: str) -> Result[PlatformObject, PlatformError]:
        """Read one object."""

    @abstractmethod
    async def list(self, collection: str) -> Result[ObjectList, PlatformError]:
        """Read a whole collection."""

    @abstractmethod
    async def put(
        self, collection: str, name: str, value: dict, if_version: int
    ) -> Result[PlatformObject, PlatformError]:
        """Write an object if it still has a version; 0 means that it must not exist."""

    @abstractmethod
    async def delete(
        self, collection: str, name: str, if_version: int
    ) -> Result[None, PlatformError]:
        """Delete an object if it still has a version."""

    @abstractmethod
    async def watch(
        self, collection: str, since: int, wait_seconds: float
    ) -> Result[WatchBatch, PlatformError]:
        """Wait for changes after a revision; an empty batch means that none came in time."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""
