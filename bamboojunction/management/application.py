"""The command-line application of a program that has one command."""

import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.io import IO

from bamboojunction import __version__

EXIT_BAD_ARGUMENTS = 2


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

    def _run(self, io: IO) -> int:
        """Report arguments that do not parse in one line."""
        try:
            return super()._run(io)
        except CleoError as error:
            text = " ".join(str(error).split())
            io.write_error_line(f"{self._only_command_name}: {text}; see --help")
            return EXIT_BAD_ARGUMENTS
