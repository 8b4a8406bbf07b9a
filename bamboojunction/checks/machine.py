"""Checks of the settings that the platform writes for a node."""

from collections import Counter

from bamboojunction.checks.messages import CheckMessage, Level
from bamboojunction.conf.addresses import is_valid_address
from bamboojunction.platform.node_settings import PlatformNodeSettings
from bamboojunction.platform_node.listeners import link_addresses

# The time that callers need to stop using the node and that their last requests need to finish.
STOP_SECONDS_MIN = 4.0


def check_machine(settings: PlatformNodeSettings) -> list[CheckMessage]:
    """Return the messages about the settings of a node on the platform."""
    return [
        *_check_address_format(settings),
        *_check_distinct_addresses(settings),
        *_check_limits(settings),
        *_check_defaults(settings),
    ]


def _address_by_purpose(settings: PlatformNodeSettings) -> dict[str, str]:
    return {
        "callers": settings.caller_address,
        "readiness": settings.ready_address,
        "reports": settings.report_address,
        "links": settings.link_address,
        "upstream": settings.upstream_address,
        "store": settings.store_address,
    }


def _check_address_format(settings: PlatformNodeSettings) -> list[CheckMessage]:
    return [
        CheckMessage(
            "machine.E001",
            Level.ERROR,
            f"the address of {purpose} is {address!r}",
            "write it as IP:PORT",
        )
        for purpose, address in _address_by_purpose(settings).items()
        if not is_valid_address(address)
    ]


def _check_distinct_addresses(settings: PlatformNodeSettings) -> list[CheckMessage]:
    address_by_purpose = _address_by_purpose(settings)
    del address_by_purpose["links"]
    counts = Counter(address_by_purpose.values())
    messages = [
        CheckMessage(
            "machine.E002",
            Level.ERROR,
            f"{address} is set for more than one purpose",
            "give each purpose a port of its own",
        )
        for address, count in counts.items()
        if count > 1
    ]
    # Links leave the ports of other purposes out, so their range may hold some of them.
    if is_valid_address(settings.link_address) and not link_addresses(settings):
        messages.append(
            CheckMessage(
                "machine.E002",
                Level.ERROR,
                f"each port of the links' range from {settings.link_address} has another purpose",
                "widen port_range",
            )
        )
    return messages


def _check_limits(settings: PlatformNodeSettings) -> list[CheckMessage]:
    messages = []
    if settings.stop_seconds < STOP_SECONDS_MIN:
        messages.append(
            CheckMessage(
                "machine.W001",
                Level.WARNING,
                f"a stop may take {settings.stop_seconds} s, but callers need {STOP_SECONDS_MIN} s",
                "raise grace_s, or the last requests of callers may be cut off",
            )
        )
    return messages


def _check_defaults(settings: PlatformNodeSettings) -> list[CheckMessage]:
    return [
        CheckMessage(
            "machine.W002",
            Level.WARNING,
            str(entry),
            "set a value of the documented type and size",
        )
        for entry in settings.defaulted
    ]
