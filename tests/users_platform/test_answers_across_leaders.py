"""Tests what the callers of a job are told before, during and after changes of the leader."""

import json
from concurrent.futures import Future

import pytest

from kumquatlift.authority import JobSpec, Operation, Reply, Request, ServingConfig, Step, TaskKey
from kumquatlift.authority._commands import Command, CommandKind
from kumquatlift.authority._state import MAX_CANCEL_NOTES, State
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
        """Guards against starting jobs of a dropped queue. The frontend answers 504."""
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


def cancel(world: FleetModel, job_id: str) -> "Future[Reply]":
    """Cancel a job."""
    return world.send_request(Request(Operation.CANCEL, {"job": job_id}))


def runs_of(world: FleetModel, job_id: str) -> int:
    """Return the number of runs of a job that are in progress."""
    return sum(task.job == job_id for each in world.upstreams.values() for task in each.runs)


class TestCancelsOfJobsThatAreNotStored:
    """The answer to a cancel binds the leaders that follow, and frontends that wait for one."""

    @pytest.mark.parametrize("from_snapshot", [False, True], ids=["log", "snapshot"])
    @pytest.mark.parametrize("wait_s", [0.0, 0.3], ids=["before its runs are known", "after"])
    def test_a_job_that_the_next_leader_does_not_know(
        self, wait_s: float, from_snapshot: bool
    ) -> None:
        """Guards against a job that goes on after its cancelling was answered with 410."""
        world = make()
        world.submit(JOB, answered_at_end(2), work_ms=3000)
        world.run(0.1)
        world.change_leader(gap_s=0.4)
        world.run(0.401 + wait_s)
        cancelled = cancel(world, JOB)
        world.run(0.1)
        assert told(cancelled) == (ResultCode.NOT_FOUND, "")
        if from_snapshot:
            world.authority.restore(world.authority.snapshot())
        again = submit_again(world, JOB, answered_at_end(2))
        world.run(0.5)
        assert told(again) == (ResultCode.ACCEPTED, "failed")
        assert world.starts == 2
        assert runs_of(world, JOB) == 0

    @pytest.mark.parametrize("from_snapshot", [False, True], ids=["log", "snapshot"])
    def test_a_job_whose_frontend_did_not_hear_of_its_end(self, from_snapshot: bool) -> None:
        """Guards against a cancelling that only the lost leader remembers."""
        world = make()
        world.submit(JOB, answered_at_end(2), work_ms=3000)
        world.run(0.1)
        cancelled = cancel(world, JOB)
        world.run(0.05)
        assert told(cancelled) == (ResultCode.ACCEPTED, "cancelled")
        if from_snapshot:
            world.authority.restore(world.authority.snapshot())
        world.change_leader(gap_s=0.4)
        world.run(0.5)
        again = submit_again(world, JOB, answered_at_end(2))
        asked = cancel(world, JOB)
        world.run(2.0)
        assert told(again) == (ResultCode.ACCEPTED, "failed")
        assert told(asked) == (ResultCode.ACCEPTED, "cancelled")
        assert world.state_of(JOB) == "cancelled"
        assert world.starts == 2

    def test_an_answer_waits_for_the_commit(self) -> None:
        world = make()
        world.submit(JOB, answered_at_end(2), work_ms=3000)
        world.run(0.1)
        cancelled = cancel(world, JOB)
        world.run(0.002)
        assert not cancelled.done()

    def test_a_job_that_has_ended_does_not_run_again(self) -> None:
        """Guards against new runs after a cancelling that was answered with the job's result."""
        world = make()
        world.submit(JOB, answered_at_end(2), work_ms=100)
        world.run(0.5)
        cancelled = cancel(world, JOB)
        world.run(0.05)
        assert told(cancelled) == (ResultCode.ACCEPTED, "completed")
        world.change_leader(gap_s=5.0)
        world.run(5.5)
        again = submit_again(world, JOB, answered_at_end(2))
        world.run(1.0)
        assert told(again) == (ResultCode.ACCEPTED, "completed")
        assert world.starts == 2

    def test_a_submission_between_the_cancelling_and_its_commit(self) -> None:
        """Guards against a job that is handed on while the note of its cancelling is written."""
        world = make()
        cancelled = cancel(world, JOB)
        world.run(0.002)
        fut = world.submit(JOB, answered_at_end(2), work_ms=3000)
        world.run(1.0)
        assert told(cancelled) == (ResultCode.NOT_FOUND, "")
        assert told(fut) == (ResultCode.ACCEPTED, "failed")
        assert runs_of(world, JOB) == 0

    def test_a_job_that_is_to_be_stored_after_its_cancelling(self) -> None:
        """Guards against a stored job that starts though the caller was told that it is gone."""
        world = make()
        cancel(world, JOB)
        world.run(0.1)
        fut = world.submit(JOB, job(2), work_ms=300)
        world.run(1.0)
        assert told(fut) == (ResultCode.ACCEPTED, "")
        assert world.state_of(JOB) == "cancelled"
        assert world.starts == 0


class TestNotesOfCancels:
    """Notes of cancelled jobs in the replicated state."""

    @staticmethod
    def state() -> State:
        """Return an empty state."""
        return State(read_config=lambda _source: ServingConfig(), wall_clock=lambda: 1.0)

    @staticmethod
    def apply(state: State, kind: CommandKind, **fields: object) -> None:
        """Apply a command."""
        state.apply(1, 1, Command(kind, fields).to_bytes())

    def test_they_are_bounded_in_number(self) -> None:
        state = self.state()
        for number in range(MAX_CANCEL_NOTES + 2):
            self.apply(state, CommandKind.CANCEL, job=f"{number:016x}", at_ms=5)
        assert len(state.cancelled) == MAX_CANCEL_NOTES
        assert f"{1:016x}" not in state.cancelled

    def test_they_are_bounded_in_time(self) -> None:
        state = self.state()
        self.apply(state, CommandKind.CANCEL, job=JOB, at_ms=5)
        self.apply(state, CommandKind.CANCEL, job="b" * 16, at_ms=7)
        self.apply(state, CommandKind.FORGET, ended_before_ms=6)
        assert list(state.cancelled) == ["b" * 16]

    def test_a_snapshot_of_the_version_before_is_read(self) -> None:
        state = self.state()
        state.restore(b'{"config":"","jobs":[],"upstreams":[]}')
        assert state.cancelled == {}
        assert state.former_queues == {}

    def test_the_version_before_cancels_a_stored_job_too(self) -> None:
        """Guards against a job that a leader without the note starts, in a rolling restart."""
        world = make()
        cancel(world, JOB)
        world.run(0.1)
        plain = json.loads(world.authority.snapshot())
        del plain["cancelled"]
        world.submit(JOB, job(2), work_ms=300)
        world.run(0.001)
        # From here on, the replica has no note, like one that a leader of that version filled.
        world.authority.restore(json.dumps(plain).encode())
        world.run(0.1)
        assert world.state_of(JOB) == "cancelled"


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


class TestUntouchedSubmissions:
    """What a leader that steps down says of jobs that it alone knows."""

    def test_a_job_of_which_nothing_was_started_counts_as_not_delivered(self) -> None:
        """Load: a zone with its leader is cut off while jobs wait for room.

        Their frontends can say truly that they have not run, or hand them to the next leader.
        """
        world = make(upstreams=1)
        running = [world.submit(f"{n:016x}", answered_at_end(1), work_ms=2000) for n in range(2)]
        world.run(0.1)
        spec = JobSpec("text", (Step(1, 6800, 64, 0, 5000),), answers_at_end=True)
        waiting = world.submit(JOB, spec, work_ms=100)
        world.run(0.1)
        world.change_leader(gap_s=0.4)
        world.run(0.1)
        assert told(waiting) == (ResultCode.NOT_LEADER, "")
        assert [told(each) for each in running] == [(ResultCode.CLAIM_UNKNOWN, "")] * 2
        world.run(4.0)
        assert world.starts == 2

    def test_a_job_that_was_started_and_waits_again_is_unknown(self) -> None:
        """Guards against "not run" of a job whose first run was lost with its upstream."""
        world = make(upstreams=1)
        spec = JobSpec("text", (Step(1, 6800, 64, 0, 5000),), answers_at_end=True)
        fut = world.submit(JOB, spec, work_ms=3000)
        world.run(0.1)
        world.upstreams["u0"].is_reachable = False
        world.run(1.5)
        world.change_leader(gap_s=0.4)
        world.run(0.1)
        assert told(fut) == (ResultCode.CLAIM_UNKNOWN, "")

    def test_a_job_that_an_earlier_leader_started_is_unknown(self) -> None:
        world = make()
        world.submit(JOB, answered_at_end(1), work_ms=3000)
        world.run(0.1)
        world.change_leader(gap_s=0.4)
        world.run(0.6)
        again = submit_again(world, JOB, answered_at_end(1))
        world.run(0.1)
        world.change_leader(gap_s=0.4)
        world.run(0.1)
        assert told(again) == (ResultCode.CLAIM_UNKNOWN, "")


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
