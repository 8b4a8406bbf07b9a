"""The faults and steps of the fault matrix, and the decorator that marks the tests of a cell."""

from enum import StrEnum


class Fault(StrEnum):
    """A kind of fault, or of load, that tests inject; its value is the name of its row."""

    DEEP_SERVICE_SLOW = "deep service slow"
    SURGE = "surge with client retries"
    FLOOD_LEAST_URGENT = "flood of the least urgent"
    FLOOD_MOST_URGENT = "flood of the most urgent"
    PLATFORM_DOWN = "platform down"
    PLATFORM_SLOW = "platform slow"
    PLATFORM_ANSWER_LOST = "platform answer lost after the write"
    NODE_PAUSED = "paused node"
    RACING_EDITS = "racing edits"
    POISON = "poisoned request"
    UPSTREAM_CRASH = "upstream crash"
    NODE_CRASH = "node crash"
    LINK_CUT = "link cut"
    LINK_HALF_OPEN = "link half-open"
    LINK_STALLED = "link stalled"
    DATA_CENTRE_CUT = "data centre cut off"


class Step(StrEnum):
    """A step of a call, of a stop or of a configuration change; its value heads its column."""

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


def covers(fault: Fault, *steps: Step):
    """Mark a test as covering a fault at one or more steps."""

    def add_cells(method):
        cells = getattr(method, CELLS_ATTRIBUTE, ())
        setattr(method, CELLS_ATTRIBUTE, (*cells, *((fault, step) for step in steps)))
        return method

    return add_cells
