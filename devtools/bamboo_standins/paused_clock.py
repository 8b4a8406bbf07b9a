"""Helpers that run coroutines on an event loop whose clock jumps to the next timer."""

import asyncio
import functools
import warnings
from collections.abc import Callable, Coroutine
from typing import Any

import async_solipsism


def run_with_paused_clock(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to completion on a new event loop with a paused clock."""
    loop = async_solipsism.EventLoop()
    try:
        with warnings.catch_warnings():
            warnings.simplefilter("ignore", async_solipsism.ResolutionWarning)
            return loop.run_until_complete(coroutine)
    finally:
        _cancel_all_tasks(loop)
        loop.close()


def with_paused_clock(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Wrap a test coroutine as a synchronous test that runs on a paused clock."""

    @functools.wraps(test)
    def run(*arguments) -> None:
        run_with_paused_clock(test(*arguments))

    return run


def _cancel_all_tasks(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
