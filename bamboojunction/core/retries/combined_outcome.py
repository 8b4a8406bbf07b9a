"""The combined outcome of a call that was attempted more than once."""

from dataclasses import replace

from bamboojunction.core.outcomes import NotRun, Outcome


def combined_outcome(earlier: Outcome | None, last: Outcome) -> Outcome:
    """Return the combined outcome of all attempts of a call.

    When the last attempt was refused but an earlier one may have run, the call must not be reported
    as not run: the earlier outcome is returned, with the allowance that is left now.
    """
    if earlier is None or isinstance(earlier, NotRun) or not isinstance(last, NotRun):
        return last
    return replace(earlier, allowance_left=last.allowance_left)
