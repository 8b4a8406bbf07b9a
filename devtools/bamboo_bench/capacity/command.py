"""The command ``bamboo-bench capacity``."""

import re
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option

from bamboo_bench.capacity import configuration, control, links, memory, processes
from bamboo_bench.capacity.slopes import Slope

PAGE_PATH = Path(__file__).parents[3] / "docs" / "CAPACITY.md"
MEASURE_BY_PART = {
    "memory": memory.measure,
    "links": links.measure,
    "processes": processes.measure,
    "control": control.measure,
    "configuration": configuration.measure,
}
TABLE_HEADING = (
    "| part | measured | slope | at the size | limit | command |\n|---|---|---|---|---|---|\n"
)


def write_table(part: str, slopes: list[Slope]) -> None:
    """Replace the table of a part on the page, between the markers of that part."""
    table = TABLE_HEADING + "\n".join(slope.to_table_row() for slope in slopes)
    begin_marker, end_marker = f"<!-- measured {part} -->", f"<!-- end {part} -->"
    pattern = re.compile(re.escape(begin_marker) + ".*?" + re.escape(end_marker), re.DOTALL)
    text = pattern.sub(
        lambda _: f"{begin_marker}\n\n{table}\n\n{end_marker}", PAGE_PATH.read_text()
    )
    PAGE_PATH.write_text(text)


class CapacityCommand(Command):
    """The command that measures the figures of docs/CAPACITY.md."""

    name = "capacity"
    description = "Measure the figures of docs/CAPACITY.md"
    options = [
        option(
            "part",
            None,
            "memory, links, processes, control or configuration (default: all)",
            flag=False,
            multiple=True,
        ),
        option("write", None, "Replace the tables on the page", flag=True),
    ]

    def handle(self) -> int:
        """Measure, print and write; return 1 if a limit is missed at the target size, else 0."""
        is_limit_missed = False
        for part in self.option("part") or MEASURE_BY_PART:
            slopes = MEASURE_BY_PART[part]()
            for slope in slopes:
                self.line(slope.to_table_row())
                is_limit_missed |= not slope.is_met
            if self.option("write"):
                write_table(part, slopes)
        return int(is_limit_missed)
