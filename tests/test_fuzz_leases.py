"""Random schedules of faults against leases, with a fixed seed, and mutations they must detect."""

import pytest

from kumquatlift.authority import _fleet, _recovery
from tools.fuzz_leases import run

STEPS = 12_000


class TestSchedules:
    """Random faults of upstreams, orders and leaders violate no invariant."""

    def test_invariants_hold(self) -> None:
        counts = run(seed=1, steps=STEPS)
        assert counts["ended"] > 0
        assert counts["change of leader"] > 0


class TestMutations:
    """Guards against schedules that detect nothing: each mutation of the leader is detected."""

    def test_leases_that_end_early_are_detected(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(_fleet.Upstream, "is_lease_over", lambda upstream, now: True)
        with pytest.raises(AssertionError, match="runs twice"):
            run(seed=1, steps=STEPS)

    def test_a_recovery_without_wait_is_detected(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(_recovery, "RECOVERY_MARGIN_S", -2.0)
        with pytest.raises(AssertionError, match=r"runs twice|after it was done"):
            run(seed=1, steps=STEPS)

    def test_doubled_capacity_is_detected(self, monkeypatch: pytest.MonkeyPatch) -> None:
        capacity = _fleet.Upstream.capacity.fget
        assert capacity is not None

        def doubled(upstream: _fleet.Upstream) -> _fleet.Resources:
            resources: _fleet.Resources = capacity(upstream)
            return resources.plus(resources)

        monkeypatch.setattr(_fleet.Upstream, "capacity", property(doubled))
        with pytest.raises(AssertionError, match="capacity"):
            run(seed=1, steps=STEPS)
