"""Readings of an upstream's clock that don't fit its earlier ones."""

import pytest

from kumquatlift.authority import PollAnswer, UpstreamState
from kumquatlift.authority._fleet import CLOCK_DOUBT_S, MAX_CLOCK_ERROR_MS, Upstream
from tests.authority_world import job, make
from tools.model_upstream import ModelUpstream

JOB = "a" * 16
LEASE_S = 1.0
STATE = UpstreamState("u", 5, "10.0.0.1:1", "s", "z", 1, 1, 0, (), False)


def upstream_at(clock_ms: int, *, now: float) -> Upstream:
    """Return an upstream whose clock was read once."""
    upstream = Upstream(state=STATE, token=1, now=now, lease_s=LEASE_S)
    upstream.record_clock(clock_ms, now)
    return upstream


class TestReadings:
    """Guards against an odd reading that makes the leader take a lease for ended, or for current.

    Tasks on the upstream then ran twice, or its orders were refused.
    """

    @pytest.mark.parametrize("odd_ms", [0, 10**6 + 3_600_000, 2**53 - 1])
    def test_odd_reading_does_not_move_the_lease(self, odd_ms: int) -> None:
        upstream = upstream_at(10**6, now=50.0)
        end_ms = upstream.extend_lease(LEASE_S, 50.0)
        assert upstream.record_clock(odd_ms, 50.1) is None
        assert not upstream.is_lease_over(50.2)
        assert upstream.extend_lease(LEASE_S, 50.2) - end_ms <= 200
        assert upstream.is_lease_over(51.5)

    def test_constant_reading_is_never_accepted(self) -> None:
        upstream = upstream_at(10**6, now=50.0)
        assert all(upstream.record_clock(10**9, 50.0 + at / 10) is None for at in range(1, 100))

    def test_wrong_first_reading_is_replaced(self) -> None:
        upstream = upstream_at(2**53 - 1, now=50.0)
        recorded = [upstream.record_clock(1000 * at, 50.0 + at) for at in range(1, 6)]
        count = int(CLOCK_DOUBT_S)
        assert recorded == [None] * count + [1000 * at for at in range(count + 1, 6)]
        assert upstream.clock_ms(55.0) == 5000

    def test_lease_goes_on_when_the_first_reading_is_replaced(self) -> None:
        upstream = upstream_at(2**53 - 1, now=50.0)
        for at in range(1, 4):
            upstream.record_clock(1000 * at, 50.0 + at)
        # An order sent just before may have renewed it.
        assert not upstream.is_lease_over(53.9)
        assert upstream.is_lease_over(54.1)

    def test_late_and_idle_readings_are_accepted(self) -> None:
        upstream = upstream_at(10**6, now=50.0)
        assert upstream.record_clock(10**6 + MAX_CLOCK_ERROR_MS, 50.0) is not None
        # No poll is sent while an upstream is idle, and its clock may be 2% slow.
        for rate in (0.98, 1.0):
            upstream = upstream_at(10**6, now=50.0)
            reading = 10**6 + int(7_200_000 * rate)
            assert upstream.record_clock(reading, 50.0 + 7200) == reading


class TestLists:
    """Guards against lists of runs that are ignored after one reading that is far ahead."""

    def test_lists_count_after_an_odd_reading(self, monkeypatch: pytest.MonkeyPatch) -> None:
        world = make(upstreams=2)
        world.submit(JOB, job(1, estimate_ms=1500), work_ms=1500)
        world.run(0.2)
        upstream = next(each for each in world.upstreams.values() if each.runs)
        answer_with_clock(upstream, 2**53 - 1, monkeypatch)
        world.run(0.5)
        monkeypatch.undo()
        # The run is gone and no end is listed, so only a list tells the leader.
        upstream.runs.clear()
        for running in world._running.values():
            running.clear()
        world.run(2.5)
        assert world.state_of(JOB) == "completed"
        assert world.violations == []


def answer_with_clock(
    upstream: ModelUpstream, clock_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Make an upstream answer polls with this reading of its clock."""
    answer = upstream._poll_answer

    def poll_answer() -> PollAnswer:
        return answer()._replace(clock_ms=clock_ms)

    monkeypatch.setattr(upstream, "_poll_answer", poll_answer)
