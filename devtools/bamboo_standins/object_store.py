"""In-memory versioned objects that the platform stand-ins serve; this module does no I/O."""

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
    """One write in the change log; ``written`` is None for a deletion."""

    revision: int
    collection: str
    name: str
    written: PlatformObject | None


@dataclass(slots=True)
class ObjectStore:
    """Versioned objects and the change log that watches read; callers must not mutate values."""

    revision: int = 0
    compacted_revision: int = 0
    object_by_key: dict[tuple[str, str], PlatformObject] = field(default_factory=dict)
    changes: list[Change] = field(default_factory=list)

    def get(self, collection: str, name: str) -> Result[PlatformObject, PlatformError]:
        """Return an object, or a NOT_FOUND error."""
        found = self.object_by_key.get((collection, name))
        if found is None:
            return Err(PlatformError(PlatformErrorKind.NOT_FOUND, f"{collection}/{name}"))
        return Ok(found)

    def list(self, collection: str) -> ObjectList:
        """Return all objects of a collection and the current revision of the store."""
        found = [entry for key, entry in self.object_by_key.items() if key[0] == collection]
        return ObjectList(self.revision, found)

    def put(
        self, collection: str, name: str, value: dict, expected_version: int
    ) -> Result[PlatformObject, PlatformError]:
        """Write an object if its version is ``expected_version``; 0 means that there is none."""
        conflict = self._conflict(collection, name, expected_version)
        if conflict is not None:
            return Err(conflict)
        self.revision += 1
        written = PlatformObject(collection, name, self.revision, copy.deepcopy(value))
        self.object_by_key[collection, name] = written
        self.changes.append(Change(self.revision, collection, name, written))
        return Ok(written)

    def delete(
        self, collection: str, name: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Delete an object if its version is ``expected_version``."""
        conflict = self._conflict(collection, name, expected_version)
        if conflict is not None:
            return Err(conflict)
        if (collection, name) not in self.object_by_key:
            return Err(PlatformError(PlatformErrorKind.NOT_FOUND, f"{collection}/{name}"))
        self.revision += 1
        del self.object_by_key[collection, name]
        self.changes.append(Change(self.revision, collection, name, None))
        return Ok(None)

    def changed_since(
        self, collection: str, after_revision: int
    ) -> Result[WatchBatch, PlatformError]:
        """Return the latest state of each object that changed after revision ``after_revision``."""
        if after_revision < self.compacted_revision:
            detail = (
                f"revision {after_revision} is older than "
                f"compacted revision {self.compacted_revision}"
            )
            return Err(PlatformError(PlatformErrorKind.COMPACTED, detail))
        latest_change_by_name = {
            change.name: change
            for change in self.changes
            if change.collection == collection and change.revision > after_revision
        }
        changed = [change.written for change in latest_change_by_name.values() if change.written]
        deleted = [
            change.name for change in latest_change_by_name.values() if change.written is None
        ]
        return Ok(WatchBatch(self.revision, changed, deleted))

    def compact(self) -> None:
        """Clear the change log, so that watches from older revisions must list again."""
        self.compacted_revision = self.revision
        self.changes.clear()

    def skip_revisions(self, count: int) -> None:
        """Advance the revision without a change, as writes to other collections would."""
        self.revision += count

    def snapshot(self) -> "ObjectStore":
        """Return a copy that later writes do not affect."""
        return ObjectStore(
            self.revision, self.compacted_revision, dict(self.object_by_key), list(self.changes)
        )

    def _conflict(self, collection: str, name: str, expected_version: int) -> PlatformError | None:
        found = self.object_by_key.get((collection, name))
        version = found.version if found else 0
        if version == expected_version:
            return None
        detail = f"{collection}/{name} is at version {version}, not {expected_version}"
        return PlatformError(PlatformErrorKind.CONFLICT, detail)
