"""The shapes of a soak test: the load, the faults, and what callers may see meanwhile."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Shape:
    """The load and the faults of a soak test; times are in seconds.

    The work of a request is drawn between ``work_seconds_min`` and ``work_seconds_max``; that of a
    call that another request makes is the shortest. ``fault_names`` are the faults to draw from, in
    ``concurrent_faults`` series side by side. With ``is_planned_work`` all faults are planned work,
    so that no request may be cut off.
    """

    name: str
    deadline_seconds: float
    work_seconds_min: float
    work_seconds_max: float
    caller_count: int
    fault_names: tuple[str, ...]
    concurrent_faults: int
    is_planned_work: bool = False


MIXED = Shape(
    "mixed",
    deadline_seconds=1.5,
    work_seconds_min=0.02,
    work_seconds_max=0.02,
    caller_count=12,
    fault_names=(
        "stop-node",
        "kill-node",
        "pause-node",
        "reload-node",
        "kill-all-nodes",
        "crash-upstream",
        "drain-upstream",
        "slow-upstream",
        "lose-answers",
        "spoil-answers",
        "harm-upstream-path",
        "harm-store-path",
        "harm-store",
        "forget-history",
        "configure",
    ),
    concurrent_faults=3,
)
# Machines are stopped in turn, and told to reload, while long work runs.
STOPS = Shape(
    "stops",
    deadline_seconds=5.0,
    work_seconds_min=0.02,
    work_seconds_max=3.5,
    caller_count=24,
    fault_names=("stop-nodes-in-turn", "reload-node"),
    concurrent_faults=1,
    is_planned_work=True,
)
# Upstreams lose the answers of a whole service, send bodies without end, and are crashed by a
# request that comes again.
LOSSES = Shape(
    "losses",
    deadline_seconds=1.5,
    work_seconds_min=0.02,
    work_seconds_max=0.05,
    caller_count=30,
    fault_names=("lose-answers-of-service", "send-endless-bodies", "send-crashing-request"),
    concurrent_faults=2,
)
SHAPE_BY_NAME = {shape.name: shape for shape in (MIXED, STOPS, LOSSES)}
