"""The cells of the fault matrix that cannot occur, each with its reason."""

from tests.matrix.cells import Fault, Step

CALLS_DO_NOT_WAIT_FOR_PLATFORM = (
    "no call waits for the platform, so its answers do not take part in the step"
)
EDITS_CONFLICT_AT_PLATFORM = (
    "edits conflict at the platform, before any node reads them; calls do not take part"
)
LOAD_IS_ON_UPSTREAMS_ONLY = (
    "the load is on upstreams; table edits and announcements occupy no upstream slot"
)
CRASHES_ONLY_WHILE_RUNNING = "the request crashes an upstream only while it runs there"
ANNOUNCED_THROUGH_PLATFORM_FIRST = (
    "an announcement is written to the platform first; links propagate it only afterwards"
)

CALL_STEPS = (
    Step.ENTRY,
    Step.QUEUE,
    Step.LINK,
    Step.DISPATCH,
    Step.RUNNING,
    Step.ANSWER,
    Step.RETRY,
    Step.DRAIN,
)
LOAD_FAULTS = (
    Fault.DEEP_SERVICE_SLOW,
    Fault.SURGE,
    Fault.FLOOD_LEAST_URGENT,
    Fault.FLOOD_MOST_URGENT,
    Fault.POISON,
)

REASON_BY_IMPOSSIBLE_CELL = {
    **{
        (Fault.PLATFORM_ANSWER_LOST, step): CALLS_DO_NOT_WAIT_FOR_PLATFORM
        for step in CALL_STEPS
        if step is not Step.DRAIN
    },
    (Fault.PLATFORM_DOWN, Step.QUEUE): CALLS_DO_NOT_WAIT_FOR_PLATFORM,
    (Fault.PLATFORM_SLOW, Step.QUEUE): CALLS_DO_NOT_WAIT_FOR_PLATFORM,
    (Fault.PLATFORM_SLOW, Step.RETRY): CALLS_DO_NOT_WAIT_FOR_PLATFORM,
    **{
        (Fault.RACING_EDITS, step): EDITS_CONFLICT_AT_PLATFORM
        for step in (*CALL_STEPS, Step.ANNOUNCE)
    },
    **{
        (fault, step): LOAD_IS_ON_UPSTREAMS_ONLY
        for fault in LOAD_FAULTS
        for step in (Step.TABLE_APPLY, Step.ANNOUNCE)
    },
    (Fault.POISON, Step.LINK): CRASHES_ONLY_WHILE_RUNNING,
    (Fault.LINK_HALF_OPEN, Step.ANNOUNCE): ANNOUNCED_THROUGH_PLATFORM_FIRST,
    (Fault.LINK_CUT, Step.ANNOUNCE): ANNOUNCED_THROUGH_PLATFORM_FIRST,
    (Fault.LINK_STALLED, Step.ANNOUNCE): ANNOUNCED_THROUGH_PLATFORM_FIRST,
}
