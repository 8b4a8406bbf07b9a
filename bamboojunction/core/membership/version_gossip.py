"""The gossip by which the news of a configuration version reaches the nodes, without I/O.

Load pattern: hundreds of nodes need each version within seconds, while a call to the store has a
price. A few nodes read the store without delay; each node that learns a version tells some of the
peers to which links are open, whichever side opened them. A peer that lacks the version requests it
from one of those that told it.
"""

import random
from collections.abc import Iterable

# Peers told by each node that learns a version. With random peers, the expected share of the nodes
# that nobody tells is exp(-FANOUT); their own watches of the store are late, but bring the version.
FANOUT = 12
# How long a requested version may take before another peer is asked for it.
REQUEST_TIMEOUT_SECONDS = 0.3


class VersionGossip:
    """The decisions of one node: which peers to tell of a version, and whether to request one."""

    __slots__ = ("_random", "_requested_at", "_requested_version")

    def __init__(self, rng: random.Random):
        self._random = rng
        self._requested_version = 0
        self._requested_at = 0.0

    def peers_to_tell(self, linked_peers: Iterable[str], source: str) -> list[str]:
        """Return the peers that are told of a version which was received from ``source``.

        ``linked_peers`` are the names of the peers to which a link is open; ``source`` is the name
        of a peer, or another text if the version came from the store.
        """
        candidates = sorted(set(linked_peers) - {source})
        return self._random.sample(candidates, min(FANOUT, len(candidates)))

    def should_request(self, known_version: int, told_version: int, now: float) -> bool:
        """Return whether to request a version of which a peer has told; record the request."""
        if told_version <= known_version:
            return False
        is_pending = now - self._requested_at < REQUEST_TIMEOUT_SECONDS
        if is_pending and told_version <= self._requested_version:
            return False
        self._requested_version, self._requested_at = told_version, now
        return True
