"""The command-line application of a program that has one command."""

from cleo.application import Application
from cleo.commands.command import Command

from bamboojunction import __version__


class SingleCommandApplication(Application):
    """Run one command whose name need not be typed."""

    def __init__(self, command: Command):
        super().__init__(command.name, __version__)
        self.add(command)
        # Cleo has no public setter for a default command.
        self._default_command = command.name
        self._single_command = True
