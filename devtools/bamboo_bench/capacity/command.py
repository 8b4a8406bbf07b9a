"""The command ``bamboo-bench capacity``."""

import re
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option

from bamboo_bench.capacity import control, links, memory, processes
from bamboo_bench.capacity.slopes import Slope

PAGE = Path(__file__).parents[3] / "docs" / "CAPACITY.md"
MEASURES_BY_PART = {
    "memory": memory.measure,
    "links": links.measure,
    "processes": processes.measure,
    "control": control.measure,
}
HEADING = "| part | measured | slope | at the size | limit | command |\n|---|---|---|---|---|---|\n"


def write_table(part: str, slopes: list[Slope]) -> None:
    """Replace the table of a part between its markers on the page."""
    table = HEADING + "\n".join(slope.to_row() for slope in slopes)
    begin, end = f"<!-- measured {part} -->", f"<!-- end {part} -->"
    pattern = re.compile(re.escape(begin) + ".*?" + re.escape(end), re.DOTALL)
    text = pattern.sub(lambda _: f"{begin}\n\n{table}\n\n{end}", PAGE.read_text())
    PAGE.write_text(text)


class CapacityCommand(Command):
    """Measure the slopes behind docs/CAPACITY.md."""

    name = "capacity"
    description = "Measure the slopes behind docs/CAPACITY.md"
    options = [
        option(
            "part",
            None,
            "memory, links, processes or control (default: all)",
            flag=False,
            multiple=True,
        ),
        option("write", None, "Write the tables of the page anew", flag=True),
    ]

    def handle(self) -> int:
        """Measure, print and write; 1 when a limit is missed at the size."""
        missed = False
        for part in self.option("part") or MEASURES_BY_PART:
            slopes = MEASURES_BY_PART[part]()
            for slope in slopes:
                self.line(slope.to_row())
                missed |= not slope.is_met
            if self.option("write"):
                write_table(part, slopes)
        return int(missed)
