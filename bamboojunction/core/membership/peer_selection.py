"""The selection of the few peers with which a node gossips."""

import itertools
import random

from bamboojunction.core.membership.failure_detector import FailureDetector
from bamboojunction.core.membership.ring import MONITORS_PER_INSTANCE, Ring
from bamboojunction.core.membership.view import MembershipView

RANDOM_PEERS_MAX = 2
RANDOM_PEER_LIFETIME_SECONDS = 120.0
# A random peer that has been silent for this long is replaced. For a silent successor on the ring,
# another peer is added.
SILENT_PEER_SECONDS = 3.0


class PeerSelector:
    """Selects the peers of a node: its successors on the ring and a few random instances.

    The random instances are preferably of other data centres.
    """

    __slots__ = (
        "_detector",
        "_expiry_by_random_peer",
        "_own_instance",
        "_probe_index",
        "_random",
        "_ring",
        "_view",
    )

    def __init__(
        self,
        own_instance: str,
        ring: Ring,
        view: MembershipView,
        detector: FailureDetector,
        rng: random.Random,
    ):
        self._own_instance = own_instance
        self._ring = ring
        self._view = view
        self._detector = detector
        self._random = rng
        self._expiry_by_random_peer: dict[str, float] = {}
        self._probe_index = 0

    def current(self, now: float) -> list[str]:
        """Return the current peers, first those on the ring and then the random ones."""
        successors = self._ring.successors(self._own_instance)
        monitored = successors[:MONITORS_PER_INSTANCE]
        silent_count = sum(self._is_silent(name, now) for name in monitored)
        # For each silent successor, the next one on the ring that answers is added.
        answering = (
            name for name in successors[MONITORS_PER_INSTANCE:] if not self._is_silent(name, now)
        )
        ring_peers = monitored + list(itertools.islice(answering, silent_count))
        self._replace_random_peers(ring_peers, now)
        return ring_peers + list(self._expiry_by_random_peer)

    def next_to_probe(self, now: float) -> str | None:
        """Return the peer to probe next, in round-robin order, or None without peers."""
        peers = self.current(now)
        if not peers:
            return None
        self._probe_index += 1
        return peers[self._probe_index % len(peers)]

    def _replace_random_peers(self, ring_peers: list[str], now: float) -> None:
        self._expiry_by_random_peer = {
            name: expires_at
            for name, expires_at in self._expiry_by_random_peer.items()
            if expires_at > now and self._is_present(name) and name not in ring_peers
            if self._detector.silent_seconds(name, now) < SILENT_PEER_SECONDS
        }
        if len(self._expiry_by_random_peer) < RANDOM_PEERS_MAX:
            self._add_random_peers(ring_peers, now)

    def _add_random_peers(self, ring_peers: list[str], now: float) -> None:
        taken = {self._own_instance, *ring_peers, *self._expiry_by_random_peer}
        candidates = [entry for entry in self._view.present() if entry.instance not in taken]
        ring_instances = set(self._ring.instances())
        in_other_data_centres = [
            entry for entry in candidates if entry.instance not in ring_instances
        ]
        preferred = in_other_data_centres or candidates
        count = min(RANDOM_PEERS_MAX - len(self._expiry_by_random_peer), len(preferred))
        for entry in self._random.sample(preferred, count):
            lifetime = RANDOM_PEER_LIFETIME_SECONDS * self._random.uniform(0.5, 1.5)
            self._expiry_by_random_peer[entry.instance] = now + lifetime

    def _is_present(self, instance: str) -> bool:
        entry = self._view.by_instance.get(instance)
        return entry is not None and not entry.is_gone

    def _is_silent(self, instance: str, now: float) -> bool:
        return self._detector.silent_seconds(instance, now) >= SILENT_PEER_SECONDS
