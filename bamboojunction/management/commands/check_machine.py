"""The program bamboo-check-machine: checks the settings that the platform writes for a node."""

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument
from result import Err

from bamboojunction.checks.machine import check_machine
from bamboojunction.checks.messages import has_errors
from bamboojunction.management.application import SingleCommandApplication
from bamboojunction.platform.node_settings import load_node_settings

EXIT_OK = 0
EXIT_INVALID_SETTINGS = 2
HELP = """Reads the settings file of a node on the platform and runs the checks that the
node runs before it starts.

Exit codes: 0 the node would start; 2 it would not, or the file cannot be read."""


class CheckMachineCommand(Command):
    """The command that checks the settings file of a node on the platform."""

    name = "bamboo-check-machine"
    description = "Check the settings that the platform writes for a node"
    help = HELP
    arguments = [argument("settings", "Path of the settings file")]

    def handle(self) -> int:
        """Print the messages of the checks."""
        path = Path(self.argument("settings"))
        loaded = load_node_settings(path)
        if isinstance(loaded, Err):
            self.line_error(loaded.err())
            return EXIT_INVALID_SETTINGS
        messages = check_machine(loaded.ok())
        for message in messages:
            self.line_error(f"{path}: {message}")
        if has_errors(messages):
            return EXIT_INVALID_SETTINGS
        self.line("settings are valid")
        return EXIT_OK


def main() -> None:
    """Run the command line."""
    SingleCommandApplication(CheckMachineCommand()).run_arguments()
