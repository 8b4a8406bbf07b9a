"""Action keys: idempotency keys that name the node incarnation which may start the action."""

from dataclasses import dataclass
from hashlib import blake2b

KEY_MAX_CHARACTERS = 200
# A longer nonce of a child call is replaced by its digest.
CHILD_NONCE_MAX_CHARACTERS = 80
DIGEST_BYTES = 16

# Separates the nonce from the steps of child calls. A caller's nonce must not contain it.
STEP_SEPARATOR = ">"


@dataclass(slots=True, frozen=True)
class HomeId:
    """The id of a home: a node's instance, its incarnation and one of its windows."""

    instance: str
    incarnation: str
    window: int

    def __str__(self) -> str:
        return f"{self.instance}/{self.incarnation}/{self.window}"


@dataclass(slots=True, frozen=True)
class ActionKey:
    """The idempotency key of an action: its home and a ``nonce`` chosen by the caller."""

    home: HomeId
    nonce: str

    def __str__(self) -> str:
        return f"{self.home}/{self.nonce}"

    @classmethod
    def parse(cls, text: str) -> "ActionKey | None":
        """Return the key that a text holds, or None when the text is not a valid key."""
        parts = text.split("/", 3)
        if len(text) > KEY_MAX_CHARACTERS or len(parts) != 4 or not all(parts):
            return None
        instance, incarnation, window, nonce = parts
        if not window.isdecimal():
            return None
        return cls(HomeId(instance, incarnation, int(window)), nonce)

    def child_key(self, step: str) -> "ActionKey":
        """Return the key of a child call, for which the upstream chose the label ``step``."""
        nonce = f"{self.nonce}{STEP_SEPARATOR}{step}"
        if len(nonce) > CHILD_NONCE_MAX_CHARACTERS:
            digest = blake2b(nonce.encode(), digest_size=DIGEST_BYTES).hexdigest()
            nonce = f"{STEP_SEPARATOR}{digest}"
        return ActionKey(self.home, nonce)

    @property
    def is_child(self) -> bool:
        """Return whether the key names a child call of another action."""
        return STEP_SEPARATOR in self.nonce
