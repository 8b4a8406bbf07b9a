"""Checks of the settings that the users' platform writes for a node."""

from collections import Counter

from bamboojunction.checks.messages import CheckMessage, Level
from bamboojunction.conf.addresses import split_address
from bamboojunction.platform.machine import MachineSettings

PORT_MAX = 65_535
# Callers need this long to leave, and what they sent last has to end: see mesh/process.py.
STOP_SECONDS_MIN = 4.0


def check_machine(settings: MachineSettings) -> list[CheckMessage]:
    """Return what is wrong with the settings of a node on the platform."""
    return [
        *_check_addresses(settings),
        *_check_distinct(settings),
        *_check_bounds(settings),
    ]


def _addresses(settings: MachineSettings) -> dict[str, str]:
    return {
        "callers": settings.caller_address,
        "readiness": settings.ready_address,
        "reports": settings.report_address,
        "links": settings.link_address,
        "upstream": settings.upstream_address,
        "store": settings.store_address,
    }


def _check_addresses(settings: MachineSettings) -> list[CheckMessage]:
    return [
        CheckMessage(
            "machine.E001",
            Level.ERROR,
            f"the address of {name} is {address!r}",
            "write it as IP:PORT",
        )
        for name, address in _addresses(settings).items()
        if not _is_address(address)
    ]


def _check_distinct(settings: MachineSettings) -> list[CheckMessage]:
    counts = Counter(_addresses(settings).values())
    return [
        CheckMessage(
            "machine.E002",
            Level.ERROR,
            f"{address} is named for more than one purpose",
            "give each purpose a port of its own",
        )
        for address, count in counts.items()
        if count > 1
    ]


def _check_bounds(settings: MachineSettings) -> list[CheckMessage]:
    messages = []
    if min(settings.repeat_ratio, settings.repeat_slack) < 0 or settings.repeat_window <= 0:
        messages.append(
            CheckMessage(
                "machine.E003",
                Level.ERROR,
                "a bound of repeats is negative, or its window is empty",
                "check the ratio, slack and window of the budget",
            )
        )
    if settings.stop_seconds < STOP_SECONDS_MIN:
        messages.append(
            CheckMessage(
                "machine.W001",
                Level.WARNING,
                f"a stop may take {settings.stop_seconds} s, less than {STOP_SECONDS_MIN} s",
                "requests that callers send last may be cut",
            )
        )
    return messages


def _is_address(address: str) -> bool:
    try:
        host, port = split_address(address)
    except ValueError:
        return False
    return bool(host) and 0 < port <= PORT_MAX
