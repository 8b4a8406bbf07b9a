"""The built-in checks, which every node runs on its settings file."""

from bamboojunction.checks import addresses, limits
from bamboojunction.checks.messages import CheckMessage
from bamboojunction.checks.registry import CheckRegistry
from bamboojunction.conf.settings import Settings

BUILTIN_CHECKS = (
    addresses.check_advertised_address,
    addresses.check_distinct_addresses,
    addresses.check_peer_discovery,
    limits.check_frame_size,
    limits.check_connections,
    limits.check_idle_close,
    limits.check_secret,
)


def builtin_registry() -> CheckRegistry:
    """Return a registry with the built-in checks."""
    registry = CheckRegistry()
    for check in BUILTIN_CHECKS:
        registry.register(check)
    return registry


def check_settings(settings: Settings) -> list[CheckMessage]:
    """Run the built-in checks and return all messages."""
    return builtin_registry().run(settings)
