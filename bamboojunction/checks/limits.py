"""Checks for conflicts between limits in the settings."""

from collections.abc import Iterator

from bamboojunction.checks.messages import CheckMessage, Level
from bamboojunction.conf.settings import Settings

# Space in a frame for the fields of a message other than its headers and its body.
FRAME_OVERHEAD_BYTES = 4_096
SECRET_MIN_CHARACTERS = 16


def check_frame_size(settings: Settings) -> Iterator[CheckMessage]:
    """Check that the largest call fits into one message on a link."""
    callers = settings.callers
    call_bytes = callers.body_max_bytes + callers.header_max_bytes + FRAME_OVERHEAD_BYTES
    if settings.links.frame_max_bytes < call_bytes:
        yield CheckMessage(
            "limits.E001",
            Level.ERROR,
            f"the largest call takes {call_bytes} bytes, too many for one message on a link",
            "raise frame_max_bytes in [links] or lower body_max_bytes in [callers]",
        )


def check_connections(settings: Settings) -> Iterator[CheckMessage]:
    """Check that there is a connection for each of the upstream's slots."""
    upstream = settings.upstream
    if upstream.connections < upstream.slots:
        yield CheckMessage(
            "limits.W001",
            Level.WARNING,
            f"{upstream.connections} connections are too few for {upstream.slots} slots",
            "raise connections in [upstream] to at least slots",
        )


def check_idle_close(settings: Settings) -> Iterator[CheckMessage]:
    """Check that an idle link stays open longer than one heartbeat interval."""
    links = settings.links
    if links.idle_close_seconds <= links.heartbeat_seconds:
        yield CheckMessage(
            "limits.W002",
            Level.WARNING,
            "links are closed as idle before their first heartbeat",
            "raise idle_close_seconds in [links] above heartbeat_seconds",
        )


def check_secret(settings: Settings) -> Iterator[CheckMessage]:
    """Check that the secret is too long to be guessed by unauthorized peers."""
    if len(settings.links.secret) < SECRET_MIN_CHARACTERS:
        yield CheckMessage(
            "limits.W003",
            Level.WARNING,
            f"the secret of the links has fewer than {SECRET_MIN_CHARACTERS} characters",
            "set a long random secret in [links], the same on every node",
        )
