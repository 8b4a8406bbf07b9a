"""The shapes of a soak test: the load, the faults, and what callers may see meanwhile."""

from dataclasses import dataclass

from bamboo_bench.soak.sites import DELIVERY_MESH, PARKING_MESH, SMALL_MESH, Mesh


@dataclass(slots=True, frozen=True)
class Shape:
    """The load and the faults of a soak test; times are in seconds.

    The work of a request is drawn between ``work_seconds_min`` and ``work_seconds_max``; that of a
    call that another request makes is the shortest. ``fault_names`` are the faults to draw from, in
    ``concurrent_faults`` series side by side, each with gaps of up to ``fault_gap_seconds_max``.
    With ``is_planned_work`` all faults are planned work, so that no request may be cut off. The
    kinds of a ``mesh`` may have work, deadlines and rates of their own; the ``caller_count``
    callers send requests one at a time.
    """

    name: str
    deadline_seconds: float
    work_seconds_min: float
    work_seconds_max: float
    caller_count: int
    fault_names: tuple[str, ...]
    concurrent_faults: int
    is_planned_work: bool = False
    mesh: Mesh = SMALL_MESH
    fault_gap_seconds_max: float = 1.0


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
# All that happens to nodes and the store, overlapping.
MESH_NODES = Shape(
    "mesh-nodes",
    deadline_seconds=6.0,
    work_seconds_min=0.02,
    work_seconds_max=0.05,
    caller_count=0,
    fault_names=(
        "stop-nodes-in-turn",
        "stop-node",
        "reload-nodes-in-series",
        "kill-node",
        "kill-some-nodes",
        "kill-all-nodes",
        "pause-node",
        "harm-store",
        "harm-store-path",
        "refuse-nodes-at-store",
        "forget-history",
        "configure-in-series",
        "send-burst",
        "crash-upstream",
    ),
    concurrent_faults=3,
    mesh=DELIVERY_MESH,
    fault_gap_seconds_max=6.0,
)
# All that happens to upstreams and callers, overlapping; nodes are only stopped with upstreams.
MESH_UPSTREAMS = Shape(
    "mesh-upstreams",
    deadline_seconds=5.0,
    work_seconds_min=0.02,
    work_seconds_max=0.05,
    caller_count=0,
    fault_names=(
        "crash-upstream",
        "drain-upstream",
        "replace-upstream",
        "slow-upstream",
        "fail-some-requests",
        "lose-answers",
        "lose-answers-of-service",
        "spoil-answers",
        "harm-upstream-path",
        "send-crashing-request",
        "send-burst",
        "repeat-at-once",
        "leave-early",
        "configure-in-series",
    ),
    concurrent_faults=4,
    mesh=PARKING_MESH,
)
# Only planned work: stops in turn, reloads in series and configurations.
MESH_PLANNED = Shape(
    "mesh-planned",
    deadline_seconds=5.0,
    work_seconds_min=0.02,
    work_seconds_max=0.05,
    caller_count=0,
    fault_names=("stop-nodes-in-turn", "reload-nodes-in-series", "configure-in-series"),
    concurrent_faults=2,
    is_planned_work=True,
    mesh=PARKING_MESH,
)
SHAPES = (MIXED, STOPS, LOSSES, MESH_NODES, MESH_UPSTREAMS, MESH_PLANNED)
SHAPE_BY_NAME = {shape.name: shape for shape in SHAPES}
