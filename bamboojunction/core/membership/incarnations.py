"""The order of the incarnations of an upstream, whose reports may arrive late.

Incarnations are ordered by their start, a time of day of the upstream's machine. That clock may
jump back between two starts.
"""

from dataclasses import dataclass

# An incarnation with an earlier start than the current one takes its place after this many reports
# in a row. Late reports of an incarnation that has ended are fewer, and the current incarnation
# reports in between.
REPORTS_TO_SUCCEED = 3


@dataclass(slots=True, frozen=True)
class Incarnation:
    """One run of an upstream; ``started_at`` is in Unix milliseconds."""

    upstream_id: str
    started_at: int


class IncarnationOrder:
    """The current incarnation of an upstream, as its reports show it."""

    __slots__ = (
        "_candidate",
        "_candidate_reports",
        "_candidate_sequence",
        "_replaced",
        "_sequence",
        "current",
    )

    def __init__(self):
        self.current: Incarnation | None = None
        self._sequence = 0
        self._replaced: Incarnation | None = None
        self._withdraw_candidate()

    def forget(self) -> None:
        """Take the next report for that of the current incarnation, whatever its start."""
        self.current = None
        self._withdraw_candidate()

    def accept(self, incarnation: Incarnation, sequence: int) -> bool:
        """Return whether a report is the latest one of the current incarnation.

        ``sequence`` is the number of the report, which rises within an incarnation.
        """
        if incarnation == self.current:
            if sequence <= self._sequence:
                return False
        elif not self._is_later(incarnation) and not self._succeeds(incarnation, sequence):
            return False
        if incarnation != self.current:
            self._replaced, self.current = self.current, incarnation
        self._sequence = sequence
        self._withdraw_candidate()
        return True

    def _is_later(self, incarnation: Incarnation) -> bool:
        if self.current is None:
            return True
        is_replaced = incarnation == self._replaced
        return incarnation.started_at > self.current.started_at and not is_replaced

    def _succeeds(self, incarnation: Incarnation, sequence: int) -> bool:
        """Count a report of a candidate; return whether it takes the place of the current one."""
        if incarnation != self._candidate:
            self._candidate, self._candidate_reports = incarnation, 0
        elif sequence <= self._candidate_sequence:
            return False
        self._candidate_sequence = sequence
        self._candidate_reports += 1
        return self._candidate_reports >= REPORTS_TO_SUCCEED

    def _withdraw_candidate(self) -> None:
        self._candidate: Incarnation | None = None
        self._candidate_reports = 0
        self._candidate_sequence = 0
