"""Random schedules of faults against leases, with a fixed seed, and mutations they must detect."""

import math
from typing import Any

import pytest

from kumquatlift.authority import (
    Reply,
    _attempts,
    _fleet,
    _leader,
    _orphans,
    _poller,
    _recovery,
    _requests,
    _state,
)
from kumquatlift.authority._commands import UpstreamState
from kumquatlift.authority._work import Job, JobState
from kumquatlift.codes import ResultCode
from tools.fuzz_departures import run_departures
from tools.fuzz_leases import run

STEPS = 12_000
# First seeds of the ranges that are played until one of them detects a mutation that few schedules
# meet.
SEEDS = (1, 100, 200, 300, 400, 500)


class TestSchedules:
    """Random faults of upstreams, orders and leaders violate no invariant."""

    def test_invariants_hold(self) -> None:
        counts = run(seed=1, steps=STEPS)
        assert counts["ended"] > 0
        assert counts["change of leader"] > 0
        assert counts["told completed"] > 0
        assert counts["told failed"] > 0


class TestDepartures:
    """Upstreams that leave while they run tasks violate no invariant when leaders are lost."""

    def test_invariants_hold(self) -> None:
        counts = run_departures(seed=1, steps=STEPS)
        assert counts["departures"] > 0
        assert counts["ended"] > 0

    def test_a_state_that_forgets_departures_is_detected(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The fault of docs/incidents/forgotten-departures.md."""

        class Forgetful(dict[str, UpstreamState]):
            def __setitem__(self, upstream_id: str, upstream: UpstreamState) -> None:
                return

        reset = _state.State._reset

        def reset_without_departures(state: _state.State) -> None:
            reset(state)
            state.departed = Forgetful()

        monkeypatch.setattr(_state.State, "_reset", reset_without_departures)
        with pytest.raises(AssertionError, match="runs twice"):
            for seed in SEEDS:
                run_departures(seed=seed, steps=STEPS)


class TestMutations:
    """Guards against schedules that detect nothing: each mutation of the leader is detected."""

    def test_leases_that_end_early_are_detected(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(_fleet.Upstream, "is_lease_over", lambda upstream, now: True)
        with pytest.raises(AssertionError, match="runs twice"):
            run(seed=1, steps=STEPS)

    def test_a_recovery_without_wait_is_detected(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(_recovery, "RECOVERY_MARGIN_S", -2.0)
        with pytest.raises(AssertionError, match=r"runs twice|after it was done"):
            for seed in SEEDS:
                run(seed=seed, steps=STEPS)

    def test_cut_lists_that_count_as_complete_are_detected(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The fault of docs/incidents/cut-lists-of-ends.md."""

        def ignore_cuts(poller: _poller.Poller, upstream: _fleet.Upstream, *_args: Any) -> None:
            upstream.has_unlisted_ends = False

        monkeypatch.setattr(_poller.Poller, "_record_completeness", ignore_cuts)
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

    def test_a_job_that_is_cancelled_at_a_disconnect_is_detected(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The fault of docs/incidents/unreadable-job-state.md, with a state that callers know."""
        monkeypatch.setattr(_requests.Requests, "_withdraw", _requests.Requests._cancel)
        with pytest.raises(AssertionError, match="told 'failed', and no task has failed too often"):
            run(seed=1, steps=STEPS)

    def test_a_state_that_is_no_result_is_detected(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(
            _requests, "_result_reply", lambda job: Reply(ResultCode.ACCEPTED, {"state": job.state})
        )
        with pytest.raises(AssertionError, match="told 'cancelled', which is no result"):
            run(seed=1, steps=STEPS)

    def test_a_job_that_completes_with_its_first_task_is_detected(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def complete(job: Job, _members: Any, now_ms: int) -> None:
            job.close(JobState.COMPLETED, now_ms)

        monkeypatch.setattr(Job, "_complete", complete)
        with pytest.raises(AssertionError, match="not all of its tasks are done"):
            run(seed=1, steps=STEPS)

    def test_a_withdrawal_of_all_submissions_of_a_job_is_detected(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        withdraw = _attempts.Attempts.withdraw

        def withdraw_all(attempts: _attempts.Attempts, job_id: str, attempt: str) -> bool:
            was_last = withdraw(attempts, job_id, attempt)
            return bool(attempts.pop(job_id)) or was_last

        monkeypatch.setattr(_attempts.Attempts, "withdraw", withdraw_all)
        with pytest.raises(AssertionError, match="has no answer"):
            run(seed=1, steps=STEPS)

    def test_an_abandoned_job_that_runs_on_is_detected(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_leader.Leader, "abandon", lambda leader, job: None)
        with pytest.raises(AssertionError, match="nobody waits for its job"):
            run(seed=1, steps=STEPS)

    def test_an_orphan_that_is_never_stopped_is_detected(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        add = _orphans.Orphans.add

        def add_for_ever(orphans: Any, *args: Any, keep_s: float) -> None:
            add(orphans, *args, keep_s=math.inf)

        monkeypatch.setattr(_orphans.Orphans, "add", add_for_ever)
        with pytest.raises(AssertionError, match="nobody waits for its job"):
            run(seed=1, steps=STEPS)

    def test_a_forgotten_withdrawal_is_detected(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a submission that arrives after its withdrawal and starts its job."""
        monkeypatch.setattr(_attempts.Attempts, "is_withdrawn", lambda attempts, attempt: False)
        with pytest.raises(AssertionError, match="nobody waits for its job"):
            run(seed=1, steps=STEPS)
