"""Garbage collector settings for a process that answers within a millisecond."""

import gc

# Net allocations of container objects between collections of the youngest generation.
YOUNG_THRESHOLD_OBJECTS = 50_000
# Collections of the next younger generation between two collections of this one.
MIDDLE_THRESHOLD_COLLECTIONS = 20
OLD_THRESHOLD_COLLECTIONS = 100


def tune_collection() -> None:
    """Exempt objects that were created at startup from collection, and collect less often.

    Reference counting frees most objects of a call, so collections only have to find reference
    cycles. A collection that also visits the modules loaded at startup delays running calls.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        YOUNG_THRESHOLD_OBJECTS, MIDDLE_THRESHOLD_COLLECTIONS, OLD_THRESHOLD_COLLECTIONS
    )
