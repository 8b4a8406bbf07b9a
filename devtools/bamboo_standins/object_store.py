"""The objects behind the stand-ins of the platform, without any input or output."""

import copy
from dataclasses import dataclass, field

from result import Err, Ok, Result

from bamboojunction.platform.client import (
    ObjectList,
    PlatformError,
    PlatformErrorKind,
    PlatformObject,
    WatchBatch,
)


@dataclass(slots=True, frozen=True)
class Change:
    """Record one write; ``written`` is None for a deletion."""

    revision: int
    collection: str
    name: str
    written: PlatformObject | None


@dataclass(slots=True)
class ObjectStore:
    """Hold versioned objects and the log of writes that watches read; callers change no value."""

    revision: int = 0
    compacted: int = 0
    by_key: dict[tuple[str, str], PlatformObject] = field(default_factory=dict)
    changes: list[Change] = field(default_factory=list)

    def get(self, collection: str, name: str) -> Result[PlatformObject, PlatformError]:
        """Read one object."""
        found = self.by_key.get((collection, name))
        if found is None:
            return Err(PlatformError(PlatformErrorKind.NOT_FOUND, f"{collection}/{name}"))
        return Ok(found)

    def list(self, collection: str) -> ObjectList:
        """Read a whole collection."""
        found = [entry for key, entry in self.by_key.items() if key[0] == collection]
        return ObjectList(self.revision, found)

    def put(
        self, collection: str, name: str, value: dict, if_version: int
    ) -> Result[PlatformObject, PlatformError]:
        """Write an object if it still has a version; 0 means that it must not exist."""
        conflict = self._conflict(collection, name, if_version)
        if conflict is not None:
            return Err(conflict)
        self.revision += 1
        written = PlatformObject(collection, name, self.revision, copy.deepcopy(value))
        self.by_key[collection, name] = written
        self.changes.append(Change(self.revision, collection, name, written))
        return Ok(written)

    def delete(self, collection: str, name: str, if_version: int) -> Result[None, PlatformError]:
        """Delete an object if it still has a version."""
        conflict = self._conflict(collection, name, if_version)
        if conflict is not None:
            return Err(conflict)
        if (collection, name) not in self.by_key:
            return Err(PlatformError(PlatformErrorKind.NOT_FOUND, f"{collection}/{name}"))
        self.revision += 1
        del self.by_key[collection, name]
        self.changes.append(Change(self.revision, collection, name, None))
        return Ok(None)

    def changed_since(self, collection: str, since: int) -> Result[WatchBatch, PlatformError]:
        """Return the last state of each object that changed after a revision."""
        if since < self.compacted:
            detail = f"revision {since} is compacted up to {self.compacted}"
            return Err(PlatformError(PlatformErrorKind.COMPACTED, detail))
        last_by_name = {
            change.name: change
            for change in self.changes
            if change.collection == collection and change.revision > since
        }
        changed = [change.written for change in last_by_name.values() if change.written]
        deleted = [change.name for change in last_by_name.values() if change.written is None]
        return Ok(WatchBatch(self.revision, changed, deleted))

    def compact(self) -> None:
        """Forget the log, so that older watches have to read the collection again."""
        self.compacted = self.revision
        self.changes.clear()

    def skip_revisions(self, count: int) -> None:
        """Leave a gap in the revisions, as writes to other collections do."""
        self.revision += count

    def snapshot(self) -> "ObjectStore":
        """Return a copy that later writes do not touch."""
        return ObjectStore(self.revision, self.compacted, dict(self.by_key), list(self.changes))

    def _conflict(self, collection: str, name: str, if_version: int) -> PlatformError | None:
        found = self.by_key.get((collection, name))
        version = found.version if found else 0
        if version == if_version:
            return None
        detail = f"{collection}/{name} is at version {version}, not {if_version}"
        return PlatformError(PlatformErrorKind.CONFLICT, detail)
