"""The calls that run at the upstream beside this node, for the child calls they make."""

import asyncio
import secrets
from dataclasses import dataclass, field

from bamboojunction.core.calls import Call
from bamboojunction.core.retries.allowance import AllowancePool

TOKEN_BYTES = 9


@dataclass(slots=True)
class RunningCall:
    """Hold what the child calls of a running call inherit."""

    token: str
    call: Call
    pool: AllowancePool
    children: set[asyncio.Task] = field(default_factory=set)

    def cancel_children(self) -> None:
        """Withdraw the child calls that still run."""
        for task in self.children:
            task.cancel()


class RunningCalls:
    """Hold the running calls by the token that the upstream echoes."""

    __slots__ = ("by_token",)

    def __init__(self):
        self.by_token: dict[str, RunningCall] = {}

    def start(self, call: Call) -> RunningCall:
        """Add a call that is about to be sent to the upstream."""
        running = RunningCall(
            secrets.token_urlsafe(TOKEN_BYTES), call, AllowancePool(call.allowance)
        )
        self.by_token[running.token] = running
        return running

    def end(self, running: RunningCall) -> int:
        """Remove a call and return the allowance that it left."""
        self.by_token.pop(running.token, None)
        running.cancel_children()
        return running.pool.left
