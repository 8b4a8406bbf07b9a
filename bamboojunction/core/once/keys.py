"""Action keys: the name of the one node incarnation that may start an action."""

from dataclasses import dataclass

KEY_TEXT_MAX = 200


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
        return ActionKey(self.home, f"{self.nonce}.{step}")
