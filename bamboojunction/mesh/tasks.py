"""Tasks that have to run as long as the node does."""

import asyncio
from collections.abc import Callable, Coroutine

from bamboojunction.telemetry.events import EventLog

# A task that fails at once again must not use up the processor.
RESTART_SECONDS = 0.5


async def keep_running(
    name: str, run: Callable[[], Coroutine[None, None, None]], events: EventLog
) -> None:
    """Run a coroutine that never ends, and again when it fails; each failure is logged."""
    while True:
        try:
            await run()
        except Exception as error:
            # Whatever went wrong, the node goes on.
            events.task_failed(name, f"{type(error).__name__}: {error}")
            await asyncio.sleep(RESTART_SECONDS)
        else:
            return
