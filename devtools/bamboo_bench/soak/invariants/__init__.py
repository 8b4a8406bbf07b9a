"""The invariants of a soak test, checked on what its callers, upstreams and faults observed."""

from bamboo_bench.soak.invariants.checker import InvariantChecker
from bamboo_bench.soak.invariants.records import Ending, EndKind, Request, Run, RunEnd

__all__ = ["EndKind", "Ending", "InvariantChecker", "Request", "Run", "RunEnd"]
