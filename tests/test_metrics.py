"""Metrics scrape."""

from kumquatlift.blackboard import Blackboard
from kumquatlift.metrics import COUNTERS, Metrics


class TestMetrics:
    """Guards against a metric that is registered and never moves."""

    def test_scrape_shows_the_counters_of_the_blackboard(self) -> None:
        board = Blackboard()
        sections = {name: board.section(name) for name in {row.section for row in COUNTERS}}
        metrics = Metrics(board=board)
        for index, row in enumerate(COUNTERS):
            sections[row.section].count(row.key, index + 1)
        lines = metrics.scrape().decode().splitlines()
        for index, row in enumerate(COUNTERS):
            name = row.name.replace(".", "_") + "_total"
            values = [float(line.split()[-1]) for line in lines if line.startswith(name)]
            assert values == [index + 1]
