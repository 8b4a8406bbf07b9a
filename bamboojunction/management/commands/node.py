"""The program bamboo-node: runs the node beside an upstream instance."""

import os

# libuv may use io_uring, which the platform forbids. This must be set before uvloop is imported.
os.environ["UV_USE_IO_URING"] = "0"

import asyncio
import signal
import sys
from pathlib import Path

import uvloop
from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err, Ok, Result

from bamboojunction.checks.builtin import check_settings
from bamboojunction.checks.messages import has_errors
from bamboojunction.conf.loader import load_settings
from bamboojunction.conf.settings import Settings
from bamboojunction.management.application import SingleCommandApplication
from bamboojunction.node.garbage_collection import tune_collection
from bamboojunction.node.process import Node
from bamboojunction.telemetry.logs import configure_logs
from bamboojunction.telemetry.standard_streams import replace_standard_streams

EXIT_OK = 0
EXIT_INVALID_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3
HELP = """Runs the node until SIGTERM or SIGINT, which start a graceful stop. The setting
stop_deadline_seconds says how long that may take, in seconds (default 20).

Exit codes: 0 stopped gracefully, or the settings are valid; 2 bad arguments or settings; 3 the node
cannot listen on one of its addresses."""


async def run_node(settings: Settings) -> Result[None, str]:
    """Run a node until SIGTERM or SIGINT asks for a graceful stop; fail if it cannot listen."""
    try:
        node = Node(settings)
        await node.start()
        tune_collection()
    except OSError as error:
        return Err(f"cannot listen: {error}")
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await stop.wait()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, node.force_stop)
    await node.stop()
    return Ok(None)


class NodeCommand(Command):
    """The command that runs the node of one upstream instance."""

    name = "bamboo-node"
    description = "Run the node of one upstream instance"
    help = HELP
    arguments = [argument("settings", "Path of the INI settings file")]
    options = [option("check", None, "Check the settings and exit", flag=True)]

    def handle(self) -> int:
        """Load and check the settings, then run the node unless only the check was requested."""
        loaded = load_settings(Path(self.argument("settings")))
        if loaded.is_err():
            self.line_error(str(loaded.err()))
            return EXIT_INVALID_SETTINGS
        settings = loaded.ok()
        messages = check_settings(settings)
        for message in messages:
            self.line_error(f"{self.argument('settings')}: {message}")
        if has_errors(messages):
            return EXIT_INVALID_SETTINGS
        if self.option("check"):
            self.line("settings are valid")
            return EXIT_OK
        configure_logs(settings.telemetry, sys.stderr)
        result = uvloop.run(run_node(settings))
        if result.is_err():
            self.line_error(f"{self.argument('settings')}: {result.err()}")
            return EXIT_CANNOT_LISTEN
        return EXIT_OK


def main() -> None:
    """Run the command line."""
    replace_standard_streams()
    SingleCommandApplication(NodeCommand()).run_arguments()


if __name__ == "__main__":
    main()
