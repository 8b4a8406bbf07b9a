"""The command ``bamboo-bench explained``: how many failed requests logs explain."""

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from bamboojunction.operators.explain import CHILD_SEPARATOR, read_request_log

EXPLAINED_SHARE_MIN = 0.95
_ANSWER_PATTERN = re.compile(r"event=request\.answered .*?\bid=(\S+) .*\bstatus=([45]\d\d)\b")
_ID_PATTERN = re.compile(r"\bid=(\S+)")


@dataclass(slots=True)
class ExplanationFigures:
    """The causes of the failed requests in logs.

    ``causes`` counts the requests by cause, with numbers and names of nodes left out;
    ``unexplained`` has the ids of the requests for which no cause was found.
    """

    causes: Counter[str] = field(default_factory=Counter)
    unexplained: list[str] = field(default_factory=list)

    @property
    def explained_share(self) -> float:
        """Return the share of the failed requests that have a cause, 1 if there are none."""
        failed = self.causes.total() + len(self.unexplained)
        return self.causes.total() / failed if failed else 1.0


def explain_failures(lines: Iterable[str]) -> ExplanationFigures:
    """Explain each request from a caller that was answered with 4xx or 5xx."""
    lines_by_root: dict[str, list[str]] = {}
    failed_ids: list[str] = []
    for line in lines:
        found = _ID_PATTERN.search(line)
        if found is None:
            continue
        root = found[1].partition(CHILD_SEPARATOR)[0]
        lines_by_root.setdefault(root, []).append(line)
        answer = _ANSWER_PATTERN.search(line)
        if answer is not None and answer[1] == root:
            failed_ids.append(root)
    figures = ExplanationFigures()
    for request_id in failed_ids:
        request_log = read_request_log(request_id, lines_by_root[request_id])
        cause = request_log.cause()
        if request_log.is_explained:
            figures.causes[_without_details(cause)] += 1
        else:
            figures.unexplained.append(request_id)
    return figures


def _without_details(cause: str) -> str:
    """Return a cause without what differs between requests: nodes, services and numbers."""
    text = re.sub(r"\((queued|ms)=.*?\)", "", cause)
    text = re.sub(r"(the gate of|at|for) (?!no )\S+", r"\1 ...", text)
    return re.sub(r"version \d+", "version ...", text).strip()


class ExplainedCommand(Command):
    """The subcommand that measures which share of the failed requests logs explain."""

    name = "explained"
    description = "Measures for which share of the failed requests the logs tell a cause"
    arguments = [argument("logs", "Files with the logs of all nodes", multiple=True)]
    options = [option("unexplained", None, "Print the ids of the others", flag=True)]

    def handle(self) -> int:
        """Print the share and the causes; return 1 if the share is below the target."""
        lines: list[str] = []
        for name in self.argument("logs"):
            with Path(name).open(errors="replace") as file:
                lines.extend(file)
        figures = explain_failures(lines)
        for cause, count in figures.causes.most_common():
            self.line(f"{count:6} {cause}")
        if self.option("unexplained"):
            for request_id in figures.unexplained:
                self.line(request_id)
        self.line(
            f"{figures.causes.total()} of {figures.causes.total() + len(figures.unexplained)} "
            f"failed requests explained, {figures.explained_share:.3f}"
        )
        return int(figures.explained_share < EXPLAINED_SHARE_MIN)
