"""Tests of the ideal response time against bounds that hold for every schedule."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatlift.bench.ideal import RunnerCapacity, ideal_response_s

RUNNERS = st.lists(
    st.builds(RunnerCapacity, st.floats(0.2, 5), st.integers(1, 4)), min_size=1, max_size=5
)


class TestIdealResponse:
    """Guards against an ideal that is too long, which would make every response time look good."""

    @given(st.lists(st.floats(0.01, 5), min_size=1, max_size=40), RUNNERS)
    def test_lies_between_the_bounds_of_every_schedule(
        self, run_s: list[float], runners: list[RunnerCapacity]
    ) -> None:
        ideal = ideal_response_s(run_s, runners)
        capacity = sum(runner.speed * runner.slots for runner in runners)
        fastest = max(runner.speed for runner in runners)
        assert ideal >= max(sum(run_s) / capacity, max(run_s) / fastest) * (1 - 1e-9)
        # Running all requests one after the other on the fastest slot is a possible schedule.
        assert ideal <= sum(run_s) / fastest * (1 + 1e-9)

    def test_known_schedules(self) -> None:
        pair = [RunnerCapacity(1.0, 1), RunnerCapacity(1.0, 1)]
        assert ideal_response_s([3, 3, 2, 2, 2], pair) == 7  # the optimum is 6
        assert ideal_response_s([1, 1, 1], [RunnerCapacity(2.0, 1), RunnerCapacity(1.0, 1)]) == 1
        assert ideal_response_s([], pair) == 0

    def test_no_slot_is_an_error(self) -> None:
        with pytest.raises(ValueError, match="no runner has a slot"):
            ideal_response_s([1], [])
