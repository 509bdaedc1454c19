"""Tests what the callers of a job are told before, during and after changes of the leader."""

from concurrent.futures import Future

import pytest

from kumquatlift.authority import JobSpec, Operation, Reply, Request, TaskKey
from kumquatlift.codes import ResultCode
from tests.authority_world import QUEUE, answered_at_end, job, make
from tools.fleet_model import FleetModel

JOB = "a" * 16
WORK_MS = 300.0
FINAL = ("completed", "failed", "cancelled")


def tasks_done(world: FleetModel, job_id: str) -> int:
    """Return the number of tasks of a job of which a run ended done."""
    return sum(task.job == job_id for task in world._done_runs)


def told(fut: "Future[Reply]") -> tuple[ResultCode, str]:
    """Return the code and the state of the reply to a submission."""
    reply = fut.result(timeout=0)
    return reply.code, reply.fields.get("state", "")


def submit_again(
    world: FleetModel, job_id: str, spec: JobSpec, *, is_resent: bool = True
) -> "Future[Reply]":
    """Submit a job again: the frontend that waits for it, or else its caller."""
    fields = {"job": job_id, "attempt": "x", "spec": spec.to_plain(), "zone": "z"}
    route = {"host": "h", "path": f"/q/{job_id}"}
    resent = {"is_resent": True} if is_resent else {}
    return world.send_request(Request(Operation.SUBMIT, {**fields, **route, **resent}))


class TestDroppedQueues:
    """Jobs whose queue is dropped by a configuration before the leader changes."""

    @pytest.mark.parametrize("delay_s", [0.0, 0.01, 0.2], ids=["at once", "soon", "known"])
    def test_a_running_job_is_finished(self, delay_s: float) -> None:
        """Guards against an answer that says "not run" of a job that runs."""
        world = make()
        world.submit(JOB, answered_at_end(2), work_ms=2000)
        world.run(0.1)
        world.configure(QUEUE._replace(prefix="/other/"))
        world.change_leader(gap_s=0.4)
        world.run(0.401 + delay_s)
        again = submit_again(world, JOB, answered_at_end(2))
        world.run(4.0)
        assert told(again) == (ResultCode.ACCEPTED, "completed")
        assert world.starts == 2

    def test_a_running_job_that_its_caller_submits_again_is_not_refused(self) -> None:
        world = make()
        world.submit(JOB, answered_at_end(2), work_ms=2000)
        world.run(0.1)
        world.configure(QUEUE._replace(prefix="/other/"))
        world.change_leader(gap_s=0.4)
        world.run(0.6)
        again = submit_again(world, JOB, answered_at_end(2), is_resent=False)
        world.run(0.1)
        assert told(again) == (ResultCode.TIMED_OUT, "")

    def test_a_job_that_no_leader_has_started_is_refused_after_recovery(self) -> None:
        """Guards against starting jobs of a dropped queue; the frontend tells an unknown outcome."""
        world = make()
        world.configure(QUEUE._replace(prefix="/other/"))
        world.change_leader(gap_s=0.4)
        world.run(0.401)
        again = submit_again(world, JOB, answered_at_end(2))
        assert not again.done()
        world.run(0.4)
        assert told(again) == (ResultCode.UNKNOWN_SERVICE, "")
        assert world.starts == 0

    @pytest.mark.parametrize("from_snapshot", [False, True], ids=["log", "snapshot"])
    def test_a_stored_job_is_finished(self, from_snapshot: bool) -> None:
        """Guards against a stored job that no leader finishes once its queue was dropped."""
        world = make()
        for upstream in world.upstreams.values():
            upstream.is_reachable = False
        world.submit(JOB, job(2), work_ms=300)
        world.run(0.1)
        world.configure(QUEUE._replace(prefix="/other/"))
        if from_snapshot:
            world.authority.restore(world.authority.snapshot())
        for upstream in world.upstreams.values():
            upstream.is_reachable = True
        world.change_leader(gap_s=0.4)
        world.run(4.0)
        assert world.state_of(JOB) == "completed"

    def test_a_submission_is_held_only_until_recovery_ends(self) -> None:
        """Load: a leader is lost while an upstream can't be reached, and the queue is full."""
        world = make()
        world.upstreams["u0"].is_reachable = False
        world.change_leader(gap_s=0.1)
        world.run(0.4)
        again = submit_again(world, JOB, answered_at_end(1))
        first = submit_again(world, "b" * 16, answered_at_end(1), is_resent=False)
        world._work[JOB] = (100.0, 6800)
        world.run(0.02)
        assert told(first) == (ResultCode.OVERLOADED, "")
        assert not again.done()
        world.run(2.0)
        assert told(again) == (ResultCode.ACCEPTED, "completed")


class TestAnswersAtTheEnd:
    """A job that its leader alone knows, submitted again after the leader is gone."""

    @pytest.mark.parametrize("gap_s", [0.05, 0.5])
    @pytest.mark.parametrize("changes_at_s", [0.0, 0.01, 0.1, 0.28, 0.3, 0.31, 0.32, 0.35, 0.5])
    def test_both_callers_are_told_a_result_of_runs_that_ended_done(
        self, changes_at_s: float, gap_s: float
    ) -> None:
        """Guards against a result that no run of the job had, before or after the change."""
        world = make()
        first = world.submit(JOB, answered_at_end(2), work_ms=WORK_MS)
        world.run(changes_at_s)
        was_told = first.done()
        done_before = tasks_done(world, JOB)
        world.change_leader(gap_s=gap_s)
        world.run(gap_s + 0.1)
        if was_told:
            assert told(first) == (ResultCode.ACCEPTED, "completed")
            assert done_before == 2
        else:
            assert told(first) in (
                (ResultCode.CLAIM_UNKNOWN, ""),
                (ResultCode.NOT_LEADER, ""),
            )
        second = world.submit(JOB, answered_at_end(2), work_ms=WORK_MS)
        world.run(3.0)
        assert told(second) == (ResultCode.ACCEPTED, "completed")
        assert tasks_done(world, JOB) == 2

    @pytest.mark.parametrize("changes_at_s", [0.5, 0.6, 2.0, 5.0])
    def test_a_result_after_one_that_was_told_is_that_of_its_own_runs(
        self, changes_at_s: float
    ) -> None:
        """Guards against a second answer that differs from the first one without runs of its own.

        The next leader reads the ends that the upstreams still list. If there are none, the job
        runs again.
        """
        world = make()
        first = world.submit(JOB, answered_at_end(2), work_ms=WORK_MS)
        world.run(changes_at_s)
        assert told(first) == (ResultCode.ACCEPTED, "completed")
        world.change_leader(gap_s=0.3)
        world.run(0.5)
        for upstream in world.upstreams.values():
            upstream.fail_share = 1.0
        second = world.submit(JOB, answered_at_end(2), work_ms=WORK_MS)
        world.run(5.0)
        print("starts", world.starts, told(second))
        expected = "completed" if world.starts == 2 else "failed"
        assert told(second) == (ResultCode.ACCEPTED, expected)


class TestStoredJobs:
    """Jobs in the log, whose callers ask for their states throughout."""

    @pytest.mark.parametrize("from_snapshot", [False, True], ids=["log", "snapshot"])
    @pytest.mark.parametrize("seed", range(4))
    def test_a_final_state_never_changes(self, seed: int, from_snapshot: bool) -> None:
        """Guards against a state that a later leader tells differently, and a false completion."""
        world = make(upstreams=4, seed=seed, unanswered_share=0.05)
        for upstream in world.upstreams.values():
            upstream.fail_share = 0.3
        shown: dict[str, str] = {}
        counts = {"queries": 0, "final": 0}
        jobs = [f"{number:016x}" for number in range(24)]

        def ask() -> None:
            for job_id in jobs:
                state = world.state_of(job_id)
                counts["queries"] += bool(state)
                if shown.get(job_id) in FINAL and state:
                    counts["final"] += 1
                    assert state == shown[job_id]
                if state == "completed":
                    assert {TaskKey(job_id, 0, 0, number) for number in range(2)} <= set(
                        world._done_runs
                    )
                if state:
                    shown[job_id] = state

        for number, job_id in enumerate(jobs):
            world.submit(job_id, job(2), work_ms=120)
            if number % 5 == 4:
                cancelled = jobs[number - 2]
                world.send_request(Request(Operation.CANCEL, {"job": cancelled}))
            world.run(0.05)
            ask()
            if number % 6 == 5:
                world.change_leader(gap_s=0.2)
                if from_snapshot:
                    world.authority.restore(world.authority.snapshot())
        for _ in range(30):
            world.run(0.1)
            ask()
        print(counts, {state: list(shown.values()).count(state) for state in shown.values()})
        assert world.violations == []
        assert counts["final"] > 200
        assert set(shown.values()) <= {*FINAL}
