"""A long model check: a search of every scenario with its full budget, then random walks."""

import argparse
import random
import sys
import time

from bamboo_bench.once.model import Violation
from bamboo_bench.once.scenarios import Scenario, faulty_scenarios, scenarios
from bamboo_bench.once.search import search_states, walk

STEPS_PER_WALK = 60
SEEDED_FAULT_STATES_MAX = 30_000
# Bounds the memory of the queue of states to visit.
STATES_MAX = 300_000


def main() -> int:
    """Run the model check for about ``--minutes``; return 1 on failure.

    A failure is a violated property, or a seeded fault that the search does not detect.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    seconds_per_phase = options.minutes * 30 / len(scenarios())
    failures = [_search_seeded_fault(scenario) for scenario in faulty_scenarios()]
    failures += [_search(scenario, seconds_per_phase) for scenario in scenarios()]
    failures += [
        _walk_randomly(scenario, options.seed, seconds_per_phase) for scenario in scenarios()
    ]
    return int(any(failures))


def _search_seeded_fault(scenario: Scenario) -> bool:
    result = search_states(scenario.build(), SEEDED_FAULT_STATES_MAX)
    print(f"break={scenario.name!r} states={result.states} found={result.violation!r}", flush=True)
    return not result.violation


def _search(scenario: Scenario, seconds: float) -> bool:
    result = search_states(scenario.build(), STATES_MAX, seconds)
    print(
        f"scenario={scenario.name!r} states={result.states} steps={result.steps} "
        f"complete={result.complete} violation={result.violation!r}",
        flush=True,
    )
    for step in result.trace:
        print(f"  {step}")
    return bool(result.violation)


def _walk_randomly(scenario: Scenario, seed: int, seconds: float) -> bool:
    rng = random.Random(f"{seed} {scenario.name}")
    ends_at = time.monotonic() + seconds
    walks = 0
    while time.monotonic() < ends_at:
        choices = [rng.randrange(2**16) for _ in range(STEPS_PER_WALK)]
        walks += 1
        try:
            walk(scenario.build(), choices)
        except Violation as violation:
            print(f"scenario={scenario.name!r} seed={seed} walk={walks} violation={violation}")
            print(f"  choices={choices}")
            return True
    print(f"scenario={scenario.name!r} seed={seed} walks={walks} violation=''", flush=True)
    return False


if __name__ == "__main__":
    sys.exit(main())
