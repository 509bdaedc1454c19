"""Tests of the scheduling experiments: omniscient scheduler, ideal response time, a small run."""

import json
from pathlib import Path

from kumquatlift.bench.baselines import KnownRunner, Omniscient, ideal_s
from kumquatlift.bench.cases import CASES
from kumquatlift.bench.comparison import run_bench

FAST = KnownRunner("fast", 1, lambda start, size: start + size)
SLOW = KnownRunner("slow", 1, lambda start, size: start + 3 * size)


class TestOmniscient:
    """Guards against a reference scheduler that does not assign tasks as documented."""

    def test_ideal_places_each_task_where_it_ends_first(self) -> None:
        assert ideal_s([1.0], [0.25, 1.0], 1) == 1.0
        assert ideal_s([1.0, 1.0, 0.5], [0.25, 1.0], 1) == 2.0

    def test_long_tasks_go_to_fast_runners_first(self) -> None:
        scheduler = Omniscient(runners=[SLOW, FAST])
        scheduler.submit(0, [0.5, 1.0], 0.0)
        assert scheduler.completion_times() == {0: 1.5}

    def test_cancelled_jobs_free_their_slots(self) -> None:
        scheduler = Omniscient(runners=[FAST])
        for job in range(3):
            scheduler.submit(job, [2.0], 0.0)
        scheduler.cancel({1}, 1.0)
        assert scheduler.completion_times() == {0: 2.0, 2: 4.0}


class TestCases:
    """Guards against a comparison of policies that run with different arrivals."""

    def test_arrivals_follow_from_the_seed(self) -> None:
        case = CASES["tenfold"](0.3)
        assert case.arrivals(1) == case.arrivals(1) != case.arrivals(2)
        assert case.runners(1) == case.runners(1)


class TestRun:
    """Guards against jobs that never end and against missing results."""

    def test_small_run_reports_every_policy(self, tmp_path: Path) -> None:
        path = tmp_path / "rows.json"
        table = run_bench(cases=["failing"], loads=[0.1], seeds=2, processes=1, json_path=path)
        rows = {row["policy"]: row["mean"] for row in json.loads(path.read_text())}
        assert len(rows) == 5
        assert table.count("failing") == 5
        assert rows["scheduler"]["failed"] < 0.1
        assert rows["scheduler"]["median"] < 2
