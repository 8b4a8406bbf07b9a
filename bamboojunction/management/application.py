"""A command-line application with a single command."""

import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.io import IO

from bamboojunction import __version__

EXIT_INVALID_ARGUMENTS = 2


class SingleCommandApplication(Application):
    """An application that runs its only command without a command name on the command line."""

    def __init__(self, command: Command):
        super().__init__(command.name, __version__)
        self._only_command_name = command.name
        self.add(command)

    def run_arguments(self) -> int:
        """Run the command with the arguments of the process and return its exit code."""
        program, *arguments = sys.argv
        return self.run(ArgvInput([program, self._only_command_name, *arguments]))

    def _run(self, io: IO) -> int:
        """Run the command; report invalid arguments as one line on standard error."""
        try:
            return super()._run(io)
        except CleoError as error:
            text = " ".join(str(error).split())
            io.write_error_line(f"{self._only_command_name}: {text}; see --help")
            return EXIT_INVALID_ARGUMENTS
