"""The one instance at which a suspect may run."""

from collections.abc import Iterable

import xxhash


def quarantine_instance(fingerprint: int, instances: Iterable[str]) -> str:
    """Return the instance that nodes with the same view agree on without talking."""
    seed = fingerprint & 0xFFFF_FFFF_FFFF_FFFF
    return max(instances, key=lambda name: (xxhash.xxh3_64_intdigest(name.encode(), seed), name))
