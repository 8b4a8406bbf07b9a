"""Why a fault cannot meet a step."""

from tests.matrix.cells import Fault, Step

NO_PLATFORM_ON_PATH = "no call waits for the platform, so its answers are no part of the step"
EDIT_BEFORE_NODES = "edits race at the platform, before any node sees them; calls are no part of it"
LOAD_OUTSIDE_CONTROL = "the load is on upstreams; edits and announcements take no slot"
NOT_YET_AT_UPSTREAM = "the request crashes an upstream only once it runs there"
LINKS_NOT_USED = "an announcement is written to the platform; links carry it only afterwards"

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
LOADS = (
    Fault.DEEP_SERVICE_SLOW,
    Fault.SURGE,
    Fault.FLOOD_LEAST_URGENT,
    Fault.FLOOD_MOST_URGENT,
    Fault.POISON,
)

REASONS_BY_CELL = {
    **{
        (Fault.PLATFORM_ANSWER_LOST, step): NO_PLATFORM_ON_PATH
        for step in CALL_STEPS
        if step is not Step.DRAIN
    },
    (Fault.PLATFORM_DOWN, Step.QUEUE): NO_PLATFORM_ON_PATH,
    (Fault.PLATFORM_SLOW, Step.QUEUE): NO_PLATFORM_ON_PATH,
    (Fault.PLATFORM_SLOW, Step.RETRY): NO_PLATFORM_ON_PATH,
    **{(Fault.RACING_EDITS, step): EDIT_BEFORE_NODES for step in (*CALL_STEPS, Step.ANNOUNCE)},
    **{
        (fault, step): LOAD_OUTSIDE_CONTROL
        for fault in LOADS
        for step in (Step.TABLE_APPLY, Step.ANNOUNCE)
    },
    (Fault.POISON, Step.LINK): NOT_YET_AT_UPSTREAM,
    (Fault.LINK_HALF_OPEN, Step.ANNOUNCE): LINKS_NOT_USED,
    (Fault.LINK_CUT, Step.ANNOUNCE): LINKS_NOT_USED,
    (Fault.LINK_STALLED, Step.ANNOUNCE): LINKS_NOT_USED,
}
