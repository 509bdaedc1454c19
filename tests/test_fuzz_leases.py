"""A fixed share of the random schedules against leases, and breaks that they must find."""

import pytest

from kumquatlift.authority import _fleet, _recovery
from tools.fuzz_leases import run

STEPS = 12_000


class TestSchedules:
    """Random faults of upstreams, orders and leaders."""

    def test_promises_hold(self) -> None:
        counts = run(seed=1, steps=STEPS)
        assert counts["ended"] > 0
        assert counts["change of leader"] > 0


class TestBreaks:
    """Guards against schedules that find nothing: each break is found."""

    def test_leases_that_end_early_are_found(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(_fleet.Upstream, "is_lease_over", lambda upstream, now: True)
        with pytest.raises(AssertionError, match="runs twice"):
            run(seed=1, steps=STEPS)

    def test_a_recovery_that_does_not_wait_is_found(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(_recovery, "RECOVERY_MARGIN_S", -2.0)
        with pytest.raises(AssertionError, match=r"runs twice|after it was done"):
            run(seed=1, steps=STEPS)

    def test_room_that_is_counted_twice_is_found(self, monkeypatch: pytest.MonkeyPatch) -> None:
        capacity = _fleet.Upstream.capacity.fget
        assert capacity is not None

        def doubled(upstream: _fleet.Upstream) -> _fleet.Resources:
            room: _fleet.Resources = capacity(upstream)
            return room.plus(room)

        monkeypatch.setattr(_fleet.Upstream, "capacity", property(doubled))
        with pytest.raises(AssertionError, match="capacity"):
            run(seed=1, steps=STEPS)
