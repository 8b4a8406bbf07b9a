"""The registry of checks of the settings."""

from collections.abc import Callable, Iterator
from itertools import chain

from bamboojunction.checks.messages import CheckMessage
from bamboojunction.conf.settings import Settings

Check = Callable[[Settings], Iterator[CheckMessage]]


class CheckRegistry:
    """A registry that runs its checks in the order of their registration."""

    __slots__ = ("_checks",)

    def __init__(self):
        self._checks: list[Check] = []

    def register(self, check: Check) -> Check:
        """Add a check and return it, so that this can be used as a decorator."""
        self._checks.append(check)
        return check

    def run(self, settings: Settings) -> list[CheckMessage]:
        """Run every check and return all messages."""
        return list(chain.from_iterable(check(settings) for check in self._checks))
