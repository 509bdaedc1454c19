"""Tests of the metrics scrape."""

import pytest

from kumquatlift.authority._interference import Pair
from kumquatlift.blackboard import Blackboard
from kumquatlift.metrics import (
    AUTHORITY_COUNTERS,
    COUNTERS,
    FRONTEND_COUNTERS,
    Counter,
    Metrics,
)


class TestMetrics:
    """Guards against a metric that is exported but never changes."""

    @pytest.mark.parametrize("counters", [COUNTERS, FRONTEND_COUNTERS, AUTHORITY_COUNTERS])
    def test_scrape_shows_the_counters_of_the_blackboard(
        self, counters: tuple[Counter, ...]
    ) -> None:
        board = Blackboard()
        sections = {name: board.section(name) for name in {row.section for row in counters}}
        metrics = Metrics(board=board, counters=counters)
        for index, row in enumerate(counters):
            sections[row.section].count(row.key, index + 1)
        lines = metrics.scrape().decode().splitlines()
        for index, row in enumerate(counters):
            name = row.name.replace(".", "_") + "_total"
            values = [float(line.split()[-1]) for line in lines if line.startswith(name)]
            assert values == [index + 1]

    def test_histograms_are_cumulative_and_made_once(self) -> None:
        """Guards against two histograms with one name, which would make the scrape invalid."""
        board = Blackboard()
        section = board.section("authority")
        for duration_ms in (1.0, 30.0, 9999.0):
            section.histogram("job_ms", "time").record(duration_ms)
        text = Metrics(board=board, counters=()).scrape().decode()
        assert 'kumquatlift_job_ms_bucket{le="2"} 1.0' in text
        assert 'kumquatlift_job_ms_bucket{le="50"} 2.0' in text
        assert 'kumquatlift_job_ms_bucket{le="+Inf"} 3.0' in text

    def test_pairs_that_slow_each_other_down_are_gauges(self) -> None:
        board = Blackboard()
        pair = Pair("a", "b", 0.5, 0.1, 120.0, 4.0)
        board.section("authority").put("interference", [pair.to_plain(7.0, is_apart=True)])
        text = Metrics(board=board, counters=()).scrape().decode()
        labels = '{beside="b",queue="a"}'
        for name, value in (("ratio", 1.649), ("runs", 120.0), ("age_s", 3.0), ("is_apart", 1.0)):
            assert f"kumquatlift_interference_{name}{labels} {value}" in text
