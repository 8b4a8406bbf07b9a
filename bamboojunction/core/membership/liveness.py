"""Which peers answer, by this node's own evidence."""

from dataclasses import dataclass

# One lost message says little; silence counts after so many unanswered probes.
UNANSWERED_MIN = 2


@dataclass(slots=True)
class Contact:
    """Count the probes of a peer since it was last heard."""

    unanswered: int = 0
    first_unanswered_at: float = 0.0


class Liveness:
    """Follow for how long each probed peer has been silent."""

    __slots__ = ("_by_instance", "last_heard_at")

    def __init__(self):
        self._by_instance: dict[str, Contact] = {}
        self.last_heard_at: float | None = None

    def probed(self, instance: str, now: float) -> None:
        """Record a probe that the peer should answer."""
        contact = self._by_instance.setdefault(instance, Contact())
        if contact.unanswered == 0:
            contact.first_unanswered_at = now
        contact.unanswered += 1

    def heard(self, instance: str, now: float) -> None:
        """Record a message from a peer."""
        self._by_instance.pop(instance, None)
        self.last_heard_at = now

    def reset(self) -> None:
        """Forget all silence, for example after this process was paused itself."""
        self._by_instance.clear()

    def forget(self, instance: str) -> None:
        """Forget the silence of one peer."""
        self._by_instance.pop(instance, None)

    def silent_seconds(self, instance: str, now: float) -> float:
        """Return for how long a peer has left probes unanswered."""
        contact = self._by_instance.get(instance)
        if contact is None or contact.unanswered < UNANSWERED_MIN:
            return 0.0
        return now - contact.first_unanswered_at
