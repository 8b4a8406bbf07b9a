"""The program that runs a node on the platform.

It takes no arguments: environment variables name the settings file that the platform writes and the
port of the metrics.
"""

import os
import signal

HANDLED_SIGNALS = frozenset({signal.SIGHUP, signal.SIGTERM, signal.SIGINT})
if __name__ == "__main__":
    # Without a handler, the signal would end the process. A blocked signal stays pending until it
    # is unblocked.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)

# libuv may use io_uring, which the platform forbids. This must be set before uvloop is imported.
os.environ["UV_USE_IO_URING"] = "0"

import asyncio
import sys
import time
from pathlib import Path

import uvloop
from result import Err, Result

from bamboojunction.checks.machine import check_machine
from bamboojunction.checks.messages import has_errors
from bamboojunction.conf.addresses import PORT_MAX
from bamboojunction.node.garbage_collection import tune_collection
from bamboojunction.platform.node_settings import (
    SETTINGS_FILE_VARIABLE,
    PlatformNodeSettings,
    load_node_settings,
)
from bamboojunction.platform_node.listeners import Listeners, PortConflict
from bamboojunction.platform_node.process import PlatformNode
from bamboojunction.telemetry.standard_streams import STANDARD_ERROR, replace_standard_streams

EXIT_INVALID_SETTINGS = 2
EXIT_PORT_TAKEN = 3
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# How long a start waits for a port that another process still has.
PORT_WAIT_SECONDS = 10.0
PORT_RETRY_SECONDS = 0.2
# The deploy file sets this variable to the port of the metrics; port 0 takes any free port.
METRICS_PORT_VARIABLE = "BAMBOO_METRICS_PORT"


def load_checked_settings() -> Result[PlatformNodeSettings, str]:
    """Load and check the file that the environment variable names, or return the errors."""
    loaded = load_node_settings(Path(os.environ.get(SETTINGS_FILE_VARIABLE, "")))
    if isinstance(loaded, Err):
        return loaded
    messages = check_machine(loaded.ok())
    if has_errors(messages):
        return Err("; ".join(str(message) for message in messages))
    return loaded


def read_metrics_port() -> int:
    """Return the port of the metrics from the environment, or 0 with a line if it is no port."""
    text = os.environ.get(METRICS_PORT_VARIABLE, "0")
    if text.isascii() and text.isdigit() and len(text) <= 5 and int(text) <= PORT_MAX:
        return int(text)
    sys.stderr.write(f"{METRICS_PORT_VARIABLE}={text!r} is no port; any free port is used\n")
    return 0


def open_listeners(settings: PlatformNodeSettings) -> Result[Listeners, PortConflict]:
    """Listen on the node's ports; while one is taken, try again for ``PORT_WAIT_SECONDS``.

    Exit if SIGTERM or SIGINT arrives meanwhile; both are blocked until the node has started.
    """
    metrics_port = read_metrics_port()
    deadline = time.monotonic() + PORT_WAIT_SECONDS
    has_reported = False
    while isinstance(opened := Listeners.open(settings, metrics_port), Err):
        if time.monotonic() >= deadline:
            break
        if not has_reported:
            sys.stderr.write(f"{opened.err()}; trying again for {PORT_WAIT_SECONDS:.0f} s\n")
            has_reported = True
        if signal.sigtimedwait(STOP_SIGNALS, PORT_RETRY_SECONDS) is not None:
            sys.exit(os.EX_OK)
    return opened


def is_stop_pending() -> bool:
    """Return whether SIGTERM or SIGINT has arrived while both are blocked."""
    return not signal.sigpending().isdisjoint(STOP_SIGNALS)


async def run_node(settings: PlatformNodeSettings, listeners: Listeners) -> None:
    """Run a node until SIGTERM or SIGINT asks for a graceful stop.

    A signal that is pending has used up a part of the grace time, so that the node would be killed
    before it could finish the calls that it takes. It does not start to serve then.
    """
    if is_stop_pending():
        return
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    node = PlatformNode(settings, sys.stdout.fileno(), listeners)
    loop.add_signal_handler(signal.SIGHUP, lambda: node.reload(load_checked_settings()))
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop.set)
    # A collection of all objects takes long, so that calls would wait for it.
    tune_collection()
    await node.start()
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
    await stop.wait()
    await node.stop()


async def _run_and_exit(settings: PlatformNodeSettings, listeners: Listeners) -> None:
    """Run a node, then exit the process at once.

    Closing the event loop would wait for connections whose peers do not complete the close.
    """
    await run_node(settings, listeners)
    os._exit(os.EX_OK)


def main() -> None:
    """Run the node, or exit with an error if its settings or its ports cannot be used."""
    replace_standard_streams()
    # While a start waited for a reader, the blocked signals could not end it.
    os.set_blocking(STANDARD_ERROR, False)
    loaded = load_checked_settings()
    if isinstance(loaded, Err):
        sys.stderr.write(f"{loaded.err()}\n")
        sys.exit(EXIT_INVALID_SETTINGS)
    opened = open_listeners(loaded.ok())
    if isinstance(opened, Err):
        sys.stderr.write(f"{opened.err()}\n")
        sys.exit(EXIT_PORT_TAKEN)
    uvloop.run(_run_and_exit(loaded.ok(), opened.ok()))


if __name__ == "__main__":
    main()
