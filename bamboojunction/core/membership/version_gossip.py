"""The gossip by which the news of a configuration version reaches the nodes, without I/O.

Load pattern: hundreds of nodes need each version within seconds, while a call to the store has a
price. A few nodes read the store without delay; each node that learns a version tells some of the
peers to which links are open, whichever side opened them. A peer that lacks the version requests it
from one of those that told it, and from the next one if no response comes.
"""

import random
from collections.abc import Iterable

# Peers told by each node that learns a version. With random peers, the expected share of the nodes
# that nobody tells is exp(-FANOUT); their own watches of the store are late, but bring the version.
FANOUT = 12
# How long a requested version may take before another peer is asked for it.
REQUEST_TIMEOUT_SECONDS = 0.3
# Peers remembered to be asked for the newest version.
HOLDERS_MAX = 8


class VersionGossip:
    """The decisions of one node: which peers to tell of a version, and whom to ask for one."""

    __slots__ = ("_holders", "_random", "_requested_at", "_version")

    def __init__(self, rng: random.Random):
        self._random = rng
        # The newest version of which a peer has told, and the peers that hold it and were not asked
        # for it yet.
        self._version = 0
        self._holders: list[str] = []
        self._requested_at = float("-inf")

    def peers_to_tell(self, linked_peers: Iterable[str], source: str) -> list[str]:
        """Return the peers that are told of a version which was received from ``source``.

        ``linked_peers`` are the names of the peers to which a link is open; ``source`` is the name
        of a peer, or another text if the version came from the store.
        """
        candidates = sorted(set(linked_peers) - {source})
        return self._random.sample(candidates, min(FANOUT, len(candidates)))

    def record_told(self, known_version: int, version: int, address: str, now: float) -> str | None:
        """Record that the peer at an address holds a version; return the address to ask for it.

        None means that the version is known or already requested.
        """
        if version <= known_version or version < self._version:
            return None
        if version > self._version:
            self._version, self._holders = version, []
            self._requested_at = float("-inf")
        if address not in self._holders and len(self._holders) < HOLDERS_MAX:
            self._holders.append(address)
        if now - self._requested_at < REQUEST_TIMEOUT_SECONDS:
            return None
        return self.next_to_ask(known_version, now)

    def next_to_ask(self, known_version: int, now: float) -> str | None:
        """Return the next peer to ask as the last one has not sent the version, or None."""
        if self._version <= known_version:
            self._holders.clear()
            return None
        if not self._holders:
            return None
        self._requested_at = now
        return self._holders.pop(0)
