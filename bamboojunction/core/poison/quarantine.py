"""The one instance at which a suspect may run."""

from collections.abc import Collection, Iterable

import xxhash


def quarantine_instance(
    fingerprint: int, instances: Iterable[str], avoided: Collection[str] = ()
) -> str:
    """Return the instance that nodes with the same view agree on without talking.

    Instances to avoid, such as those that the suspect crashed, come last.
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
