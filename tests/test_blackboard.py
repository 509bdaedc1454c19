"""Tests of the shared state of a process."""

import pytest

from kumquatlift.blackboard import Blackboard


class TestBlackboard:
    """Guards against two writers of one section and against state missing from the dump."""

    def test_a_section_has_one_owner(self) -> None:
        board = Blackboard()
        board.section("slots")
        with pytest.raises(ValueError, match="owner"):
            board.section("slots")

    def test_dump_holds_values_counters_and_views(self) -> None:
        board = Blackboard()
        section = board.section("slots")
        section.put("state", "serving")
        section.count("grants", 2)
        section.count("grants")
        section.publish(lambda: {"queued": 4})
        assert board.snapshot()["slots"] == {"state": "serving", "grants": 3, "queued": 4}
        assert board.read("slots", "grants") == 3
        assert board.read("other", "grants", 0) == 0
