"""The calls that run at this node's upstream, from which child calls inherit their context."""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from bamboojunction.core.calls import Call
from bamboojunction.core.retries.allowance import AllowancePool

TOKEN_BYTES = 9


def _random_token() -> str:
    return secrets.token_urlsafe(TOKEN_BYTES)


@dataclass(slots=True)
class RunningCall:
    """A call that runs at the upstream, and the context that its child calls inherit.

    The child calls share the retry allowance in ``pool``. The upstream sends ``token`` back with
    each child call.
    """

    token: str
    call: Call
    pool: AllowancePool
    children: set[asyncio.Task] = field(default_factory=set)

    def cancel_children(self) -> None:
        """Cancel the child calls that still run."""
        for task in self.children:
            task.cancel()


class RunningCalls:
    """The running calls, by the token that the upstream sends back with child calls.

    ``create_token`` returns a token that no other running call has.
    """

    __slots__ = ("_create_token", "by_token")

    def __init__(
        self,
        create_token: Callable[[], str] = _random_token,
    ):
        self._create_token = create_token
        self.by_token: dict[str, RunningCall] = {}

    def start(self, call: Call) -> RunningCall:
        """Register a call that is about to be sent to the upstream."""
        running = RunningCall(self._create_token(), call, AllowancePool(call.allowance))
        self.by_token[running.token] = running
        return running

    def end(self, running: RunningCall) -> int:
        """Remove a call, cancel its child calls and return the allowance that is left."""
        self.by_token.pop(running.token, None)
        running.cancel_children()
        return running.pool.left
