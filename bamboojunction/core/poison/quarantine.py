"""Choice of the quarantine instance, the only one at which a suspect may run."""

from collections.abc import Collection, Iterable

import xxhash


def quarantine_instance(
    fingerprint: int, instances: Iterable[str], avoided: Collection[str] = ()
) -> str:
    """Return the quarantine instance of a fingerprint, by rendezvous hashing.

    Nodes with the same view of the instances choose the same one without coordination. An avoided
    instance, such as one that the suspect crashed, is chosen only when there is no other.
    """
    seed = fingerprint & 0xFFFF_FFFF_FFFF_FFFF
    return max(
        instances,
        key=lambda name: (
            name not in avoided,
            xxhash.xxh3_64_intdigest(name.encode(), seed),
            name,
        ),
    )
