"""Action keys: the name of the one node incarnation that may start an action."""

from dataclasses import dataclass
from hashlib import blake2b

KEY_TEXT_MAX = 200
# Nonces of child calls that grow longer than this are replaced by their digest.
CHILD_NONCE_MAX = 80
DIGEST_BYTES = 16

# Separates the steps of child calls; the nonce of a caller may not hold it.
STEP_SEPARATOR = ">"


@dataclass(slots=True, frozen=True)
class HomeId:
    """Name a home: a node's instance, its incarnation and one of its windows."""

    instance: str
    incarnation: str
    window: int

    def __str__(self) -> str:
        return f"{self.instance}/{self.incarnation}/{self.window}"


@dataclass(slots=True, frozen=True)
class ActionKey:
    """Name an action at its home; ``nonce`` is the caller's own."""

    home: HomeId
    nonce: str

    def __str__(self) -> str:
        return f"{self.home}/{self.nonce}"

    @classmethod
    def parse(cls, text: str) -> "ActionKey | None":
        """Read a key, or return None when the text is not one."""
        parts = text.split("/", 3)
        if len(text) > KEY_TEXT_MAX or len(parts) != 4 or not all(parts):
            return None
        instance, incarnation, window, nonce = parts
        if not window.isdecimal():
            return None
        return cls(HomeId(instance, incarnation, int(window)), nonce)

    def child(self, step: str) -> "ActionKey":
        """Return the key of a child call that the upstream labelled with a step."""
        nonce = f"{self.nonce}{STEP_SEPARATOR}{step}"
        if len(nonce) > CHILD_NONCE_MAX:
            digest = blake2b(nonce.encode(), digest_size=DIGEST_BYTES).hexdigest()
            nonce = f"{STEP_SEPARATOR}{digest}"
        return ActionKey(self.home, nonce)

    @property
    def is_child(self) -> bool:
        """Return whether the key names a step of another action."""
        return STEP_SEPARATOR in self.nonce
