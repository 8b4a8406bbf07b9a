"""The combined outcome of a call that was attempted more than once."""

from bamboojunction.core.outcomes import NotRun, Outcome, with_allowance


def combined_outcome(earlier: Outcome | None, last: Outcome) -> Outcome:
    """Return the combined outcome of all attempts of a call.

    When the last attempt was refused but an earlier one may have run, the call must not be reported
    as not run: the earlier outcome is returned, with the allowance that is left now.
    """
    if earlier is None or isinstance(earlier, NotRun) or not isinstance(last, NotRun):
        return last
    return with_allowance(earlier, last.allowance_left)
