"""The call that nodes route, admit and run."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Call:
    """A call to a service.

    ``deadline`` is in seconds on the local monotonic clock. ``allowance`` is the number of retries
    left for this call and all calls below it in the chain. ``key`` is the text of the call's
    idempotency key, or empty if it has none. The home of the key sets ``attempt``, the number of
    this attempt of the call, and ``gate_incarnation``, the only gate incarnation that may run the
    attempt. ``caller_service`` is the service of the node where the call entered the mesh.
    ``goal_seconds`` is the latency goal: all answers within this time are equally good. It is known
    only at the node where the call entered the mesh, and 0 elsewhere. ``root_action`` is the action
    of the first call of the chain, and ``inherited_rank`` the rank that the chain inherits from
    that call. They are empty and None if unknown. ``has_refused_child`` is set at the gate that
    runs the call once one of its child calls found a service short of room, and ``child_calls``
    lists there the kind and the service of each child call.
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
    gate_incarnation: str = ""
    caller_service: str = ""
    goal_seconds: float = 0.0
    root_action: str = ""
    inherited_rank: int | None = None
    has_refused_child: bool = False
    child_calls: list[tuple[str, str]] = field(default_factory=list)
