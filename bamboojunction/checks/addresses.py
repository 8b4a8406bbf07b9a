"""Checks of the addresses in the settings."""

from collections.abc import Iterator

from bamboojunction.checks.messages import CheckMessage, Level
from bamboojunction.conf.settings import Settings

WILDCARD_HOST_PREFIX = "0.0.0.0:"


def check_advertised_address(settings: Settings) -> Iterator[CheckMessage]:
    """Check that other nodes can connect to the advertised link address."""
    node = settings.node
    advertised = node.link_advertised_address or node.link_address
    if advertised.startswith(WILDCARD_HOST_PREFIX):
        yield CheckMessage(
            "addresses.E001",
            Level.ERROR,
            f"other nodes cannot connect to the advertised address {advertised}",
            "set link_advertised_address in [node] to an address of this machine",
        )


def check_distinct_addresses(settings: Settings) -> Iterator[CheckMessage]:
    """Check that the node's two listeners and its upstream have three distinct addresses."""
    node = settings.node
    addresses = [node.link_address, node.caller_address, settings.upstream.address]
    if len(set(addresses)) < len(addresses):
        yield CheckMessage(
            "addresses.E002",
            Level.ERROR,
            "link_address, caller_address and the upstream's address are not all different",
            "give each its own port",
        )


def check_peer_discovery(settings: Settings) -> Iterator[CheckMessage]:
    """Check that the node has a source for the table and the addresses of other nodes."""
    if not settings.platform.addresses and not settings.links.seeds:
        yield CheckMessage(
            "addresses.W001",
            Level.WARNING,
            "neither the platform nor any other node is configured",
            "set addresses in [platform], or seeds in [links]",
        )
