"""Checks of the addresses."""

from collections.abc import Iterator

from bamboojunction.checks.messages import CheckMessage, Level
from bamboojunction.conf.settings import Settings

ANY_HOST = "0.0.0.0:"


def check_advertised_address(settings: Settings) -> Iterator[CheckMessage]:
    """Check that other nodes can use the announced link address."""
    node = settings.node
    announced = node.link_advertised_address or node.link_address
    if announced.startswith(ANY_HOST):
        yield CheckMessage(
            "addresses.E001",
            Level.ERROR,
            f"other nodes cannot connect to the announced address {announced}",
            "set link_advertised_address in [node] to an address of this machine",
        )


def check_distinct_addresses(settings: Settings) -> Iterator[CheckMessage]:
    """Check that the node's two listeners and its upstream do not share an address."""
    node = settings.node
    addresses = [node.link_address, node.caller_address, settings.upstream.address]
    if len(set(addresses)) < len(addresses):
        yield CheckMessage(
            "addresses.E002",
            Level.ERROR,
            "link_address, caller_address and the upstream's address are not three addresses",
            "give each its own port",
        )


def check_platform_address(settings: Settings) -> Iterator[CheckMessage]:
    """Check that the node can learn the table and the other nodes from somewhere."""
    if not settings.platform.addresses and not settings.links.seeds:
        yield CheckMessage(
            "addresses.W001",
            Level.WARNING,
            "the node knows neither the platform nor any other node",
            "set addresses in [platform], or seeds in [links]",
        )
