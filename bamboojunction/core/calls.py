"""The call as the decisions see it."""

from dataclasses import dataclass


@dataclass(slots=True)
class Call:
    """Describe one call for one service.

    ``deadline`` is in seconds on the local monotonic clock. ``allowance`` counts the retries that
    this call and everything below it may still spend. ``key`` is the text of an action key, or
    empty; ``attempt`` numbers the attempts of a keyed call and is set by its home, as is ``gate``,
    the only gate incarnation that may run the attempt. ``caller`` is the service beside the node
    where the call entered; ``aim`` is the time in seconds within which an answer is as good as an
    earlier one, known where the call entered only. ``root`` is the action of the call at the top of
    the chain and ``rank`` the one that the chain inherits from it, where they are known.
    """

    action: str
    kind: str
    service: str
    deadline: float
    allowance: int = 0
    depth: int = 0
    key: str = ""
    attempt: int = 0
    method: str = "GET"
    path: str = "/"
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    traceparent: str = ""
    gate: str = ""
    caller: str = ""
    aim: float = 0.0
    root: str = ""
    rank: int | None = None
