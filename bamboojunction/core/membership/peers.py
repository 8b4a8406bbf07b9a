"""The few peers that a node exchanges with."""

import itertools
import random

from bamboojunction.core.membership.liveness import Liveness
from bamboojunction.core.membership.ring import MONITORS, Ring
from bamboojunction.core.membership.view import MembershipView

FAR_PEERS = 2
FAR_PEER_SECONDS = 120.0
# A far peer that is silent for this long is replaced.
FAR_SILENT_SECONDS = 3.0


class Peers:
    """Choose the successors on the ring and a few random instances elsewhere."""

    __slots__ = ("_far_until", "_liveness", "_own", "_random", "_ring", "_turn", "_view")

    def __init__(
        self,
        own_instance: str,
        ring: Ring,
        view: MembershipView,
        liveness: Liveness,
        generator: random.Random,
    ):
        self._own = own_instance
        self._ring = ring
        self._view = view
        self._liveness = liveness
        self._random = generator
        self._far_until: dict[str, float] = {}
        self._turn = 0

    def all(self, now: float) -> list[str]:
        """Return the current peers: the monitored ones first, then the far ones."""
        successors = self._ring.successors(self._own)
        monitored = successors[:MONITORS]
        silent = sum(self._is_silent(name, now) for name in monitored)
        # Others further along the ring take the place of those that do not answer.
        answering = (name for name in successors[MONITORS:] if not self._is_silent(name, now))
        near = monitored + list(itertools.islice(answering, silent))
        self._refresh_far(near, now)
        return near + list(self._far_until)

    def next(self, now: float) -> str | None:
        """Return the peer whose turn it is."""
        peers = self.all(now)
        if not peers:
            return None
        self._turn += 1
        return peers[self._turn % len(peers)]

    def _refresh_far(self, near: list[str], now: float) -> None:
        self._far_until = {
            name: until
            for name, until in self._far_until.items()
            if until > now and self._is_present(name) and name not in near
            if self._liveness.silent_seconds(name, now) < FAR_SILENT_SECONDS
        }
        if len(self._far_until) < FAR_PEERS:
            self._add_far(near, now)

    def _add_far(self, near: list[str], now: float) -> None:
        taken = {self._own, *near, *self._far_until}
        candidates = [entry for entry in self._view.present() if entry.instance not in taken]
        ring = set(self._ring.instances())
        elsewhere = [entry for entry in candidates if entry.instance not in ring]
        pool = elsewhere or candidates
        wanted = min(FAR_PEERS - len(self._far_until), len(pool))
        for entry in self._random.sample(pool, wanted):
            lifetime = FAR_PEER_SECONDS * self._random.uniform(0.5, 1.5)
            self._far_until[entry.instance] = now + lifetime

    def _is_present(self, instance: str) -> bool:
        entry = self._view.by_instance.get(instance)
        return entry is not None and not entry.is_gone

    def _is_silent(self, instance: str, now: float) -> bool:
        return self._liveness.silent_seconds(instance, now) >= FAR_SILENT_SECONDS
