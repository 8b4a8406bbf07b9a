"""Detection of unresponsive peers from the probes that this node sends."""

from dataclasses import dataclass

# A single lost message must not make a peer appear silent.
UNANSWERED_PROBES_MIN = 2


@dataclass(slots=True)
class UnansweredProbes:
    """The probes sent to a peer since its last message."""

    count: int = 0
    first_sent_at: float = 0.0


class FailureDetector:
    """Tracks for how long each probed peer has been silent."""

    __slots__ = ("_probes_by_instance", "last_message_at")

    def __init__(self):
        self._probes_by_instance: dict[str, UnansweredProbes] = {}
        self.last_message_at: float | None = None

    def record_probe(self, instance: str, now: float) -> None:
        """Record that a probe was sent, which the peer should answer."""
        probes = self._probes_by_instance.setdefault(instance, UnansweredProbes())
        if probes.count == 0:
            probes.first_sent_at = now
        probes.count += 1

    def record_message(self, instance: str, now: float) -> None:
        """Record a message from a peer, which ends its silence."""
        self._probes_by_instance.pop(instance, None)
        self.last_message_at = now

    def reset(self) -> None:
        """Discard the unanswered probes of all peers, for example after a pause of this process."""
        self._probes_by_instance.clear()

    def forget(self, instance: str) -> None:
        """Discard the unanswered probes of one peer."""
        self._probes_by_instance.pop(instance, None)

    def silent_seconds(self, instance: str, now: float) -> float:
        """Return the seconds since the first unanswered probe, or 0 if too few are unanswered."""
        probes = self._probes_by_instance.get(instance)
        if probes is None or probes.count < UNANSWERED_PROBES_MIN:
            return 0.0
        return now - probes.first_sent_at
