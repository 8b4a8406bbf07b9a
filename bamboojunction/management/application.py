"""The command-line application of a program that has one command."""

import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.io.inputs.argv_input import ArgvInput

from bamboojunction import __version__


class SingleCommandApplication(Application):
    """Run one command whose name need not be typed."""

    def __init__(self, command: Command):
        super().__init__(command.name, __version__)
        self._only_command_name = command.name
        self.add(command)

    def run_arguments(self) -> int:
        """Run the command with the arguments of the process."""
        program, *arguments = sys.argv
        return self.run(ArgvInput([program, self._only_command_name, *arguments]))
