"""Tuning of the garbage collector for a process that answers within a millisecond."""

import gc

# Container objects allocated between collections of the youngest generation.
YOUNG_THRESHOLD_OBJECTS = 50_000
MIDDLE_THRESHOLD_COLLECTIONS = 20
OLD_THRESHOLD_COLLECTIONS = 100


def tune_collection() -> None:
    """Leave what was loaded at start out of collections, and collect less often.

    Most objects of a call are freed by their reference counts; collections only have to find
    cycles, and each one that visits the modules loaded at start delays the calls under way.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        YOUNG_THRESHOLD_OBJECTS, MIDDLE_THRESHOLD_COLLECTIONS, OLD_THRESHOLD_COLLECTIONS
    )
