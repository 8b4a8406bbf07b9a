"""The program bamboo-explain: finds in logs why a request ended as it did."""

from collections.abc import Iterator
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from bamboojunction.management.application import SingleCommandApplication
from bamboojunction.operators.explain import read_request_log

EXIT_OK = 0
EXIT_UNREADABLE = 2
EXIT_NOT_FOUND = 4
HELP = """Reads the logs of any number of nodes, prints the lines of one request and of its
child calls ordered by time, and then the cause of its outcome.

Exit codes: 0 the request was found; 2 a file cannot be read; 4 no line has the request id."""


class ExplainCommand(Command):
    """The command that explains how one request ended."""

    name = "bamboo-explain"
    description = "Explain from logs how one request ended"
    help = HELP
    arguments = [
        argument("id", "Id of the request"),
        argument("logs", "Files with the logs of nodes", multiple=True),
    ]
    options = [option("cause", None, "Print the cause only", flag=True)]

    def handle(self) -> int:
        """Print the lines of the request and the cause of its outcome."""
        try:
            request_log = read_request_log(self.argument("id"), _read_lines(self.argument("logs")))
        except OSError as error:
            self.line_error(str(error))
            return EXIT_UNREADABLE
        if not request_log.lines:
            self.line_error(f"no log line has the request id {self.argument('id')}")
            return EXIT_NOT_FOUND
        if not self.option("cause"):
            for log_line in request_log.lines:
                self.line(log_line.render())
        self.line(f"cause: {request_log.cause()}")
        return EXIT_OK


def _read_lines(names: list[str]) -> Iterator[str]:
    for name in names:
        with Path(name).open(errors="replace") as file:
            yield from file


def main() -> None:
    """Run the command line."""
    SingleCommandApplication(ExplainCommand()).run_arguments()


if __name__ == "__main__":
    main()
