"""The cells of the fault matrix: which test puts which fault at which step."""

from enum import StrEnum


class Fault(StrEnum):
    """Name a fault of the brief."""

    DEEP_SERVICE_SLOW = "deep service slow"
    SURGE = "surge with client retries"
    FLOOD_LEAST_URGENT = "flood of the least urgent"
    FLOOD_MOST_URGENT = "flood of the most urgent"
    PLATFORM_DOWN = "platform down"
    PLATFORM_SLOW = "platform slow"
    PLATFORM_ANSWER_LOST = "platform answer lost after the write"
    HOLDER_PAUSED = "paused holder"
    RACING_EDITS = "racing edits"
    POISON = "poisoned request"
    UPSTREAM_CRASH = "upstream crash"
    NODE_CRASH = "node crash"
    LINK_CUT = "link cut"
    LINK_HALF_OPEN = "link half-open"
    LINK_STALLED = "link stalled"
    DATA_CENTRE_CUT = "data centre cut off"


class Step(StrEnum):
    """Name a step that a fault can meet."""

    ENTRY = "entry"
    QUEUE = "queue"
    LINK = "link"
    DISPATCH = "dispatch"
    RUNNING = "running"
    ANSWER = "answer on its way"
    RETRY = "retry"
    DRAIN = "drain"
    TABLE_APPLY = "table apply"
    ANNOUNCE = "announce"


CELLS_ATTRIBUTE = "matrix_cells"


def proves(fault: Fault, *steps: Step):
    """Mark a test as the proof of a fault at one or more steps."""

    def mark(method):
        cells = getattr(method, CELLS_ATTRIBUTE, ())
        setattr(method, CELLS_ATTRIBUTE, (*cells, *((fault, step) for step in steps)))
        return method

    return mark
