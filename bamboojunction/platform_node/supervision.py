"""Supervision of background tasks that run as long as the node."""

import asyncio
from collections.abc import Callable, Coroutine

from bamboojunction.telemetry.events import EventLog

# Delay before a restart, so that a task that fails at once does not occupy the CPU.
RESTART_SECONDS = 0.5


async def run_supervised(
    name: str, run: Callable[[], Coroutine[None, None, None]], events: EventLog
) -> None:
    """Run a coroutine and restart it after each failure, which is logged."""
    while True:
        try:
            await run()
        except Exception as error:
            # A failure of one task must not stop the node.
            events.task_failed(name, f"{type(error).__name__}: {error}")
            await asyncio.sleep(RESTART_SECONDS)
        else:
            return
