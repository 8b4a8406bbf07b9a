"""The figures of a replay: what callers got, by kind, data centre and second."""

import csv
import statistics
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from bamboo_bench.replay.clients import RequestRecord, Result
from bamboo_bench.replay.fleet import ReplayFleet

# A refusal that takes longer than this share of the goal keeps its caller waiting for nothing.
LATE_REFUSAL_GOAL_SHARE = 1 / 8


@dataclass(slots=True)
class ReplayFigures:
    """The figures of one replay.

    ``failed_after_admission`` is the share of the tries that were not refused and did not end with
    success. ``busiest_by_service`` is the ratio of the arrivals at the busiest upstream of a
    service to those of the mean one of its speed, and ``arrivals_per_request`` the number of calls
    that reached upstreams for each request of a client.
    """

    result_shares_by_kind: dict[str, dict[Result, float]]
    goodput_by_data_centre: dict[str, float]
    goodput_by_second: dict[int, float]
    failed_after_admission: float
    late_refusals: float
    arrivals_per_request: float
    busiest_by_service: dict[str, float] = field(default_factory=dict)

    def goodput(self, kind: str) -> float:
        """Return the share of the requests of a kind that were answered within their goal."""
        return self.result_shares_by_kind[kind].get(Result.IN_TIME, 0.0)

    @classmethod
    def of_replay(cls, fleet: ReplayFleet, all_records: list[RequestRecord]) -> "ReplayFigures":
        """Return the figures of the measured time of a replay."""
        pattern = fleet.pattern
        records = [
            record
            for record in all_records
            if pattern.measured_from <= record.arrived_at < pattern.measured_until
        ]
        goal_by_kind = {kind.name: kind.goal_ms / 1000 for kind in pattern.kinds}
        admitted = [record for record in records if record.result is not Result.REFUSED]
        refusals = [record for record in records if record.refused_after is not None]
        return cls(
            result_shares_by_kind={
                kind: _result_shares(group) for kind, group in _group(records, _kind_of).items()
            },
            goodput_by_data_centre=_goodput(_group(records, lambda record: record.data_centre)),
            goodput_by_second=_goodput(_group(all_records, lambda record: int(record.arrived_at))),
            failed_after_admission=_share(admitted, lambda record: record.result is Result.FAILED),
            late_refusals=_share(
                refusals,
                lambda record: record.refused_after
                > LATE_REFUSAL_GOAL_SHARE * goal_by_kind[record.kind],
            ),
            arrivals_per_request=fleet.arrivals_by_instance.total() / max(1, len(all_records)),
            busiest_by_service=_busiest_by_service(fleet),
        )


def mean_figures(runs: list[ReplayFigures], value: Callable[[ReplayFigures], float]) -> float:
    """Return the mean of one figure over several replays."""
    return statistics.mean(value(run) for run in runs)


def write_csv(path: Path, records_by_run: dict[str, list[RequestRecord]]) -> None:
    """Write one line for each request of each run."""
    columns = [
        *("run", "kind", "rank", "data_centre", "arrived_at"),
        *("result", "tries", "seconds", "refused_after"),
    ]
    with path.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(columns)
        for run, records in records_by_run.items():
            writer.writerows(
                [run, *(getattr(record, column) for column in columns[1:])] for record in records
            )


def _kind_of(record: RequestRecord) -> str:
    return record.kind


def _group(
    records: Iterable[RequestRecord], key: Callable[[RequestRecord], object]
) -> dict[object, list[RequestRecord]]:
    groups = defaultdict(list)
    for record in records:
        groups[key(record)].append(record)
    return dict(sorted(groups.items()))


def _share(records: list[RequestRecord], is_counted: Callable[[RequestRecord], bool]) -> float:
    return sum(map(is_counted, records)) / len(records) if records else 0.0


def _result_shares(records: list[RequestRecord]) -> dict[Result, float]:
    counts = Counter(record.result for record in records)
    return {result: counts[result] / len(records) for result in Result}


def _goodput(groups: dict[object, list[RequestRecord]]) -> dict:
    return {
        key: _share(group, lambda record: record.result is Result.IN_TIME)
        for key, group in groups.items()
    }


def _busiest_by_service(fleet: ReplayFleet) -> dict[str, float]:
    busiest = {}
    for service in fleet.pattern.services:
        arrivals_by_speed = defaultdict(list)
        for number, instance in enumerate(fleet.instances_by_service[service.name]):
            speed = service.speeds[number % len(service.speeds)]
            arrivals_by_speed[speed].append(fleet.arrivals_by_instance[instance])
        busiest[service.name] = max(
            max(arrivals) / max(1.0, statistics.mean(arrivals))
            for arrivals in arrivals_by_speed.values()
        )
    return busiest
