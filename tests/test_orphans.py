"""Tests runs that the leader has lost track of: of jobs submitted again and upstreams restarted."""

from concurrent.futures import Future

import pytest

from kumquatlift.authority import JobSpec, Operation, Reply, Request, Step
from kumquatlift.authority._attempts import MAX_WITHDRAWALS, Attempts
from kumquatlift.clock import ManualClock
from kumquatlift.codes import ResultCode
from tests.authority_world import answered_at_end, job, make
from tools.fleet_model import FleetModel
from tools.model_upstream import ModelUpstream

JOB = "a" * 16


def submit(world: FleetModel, attempt: str, spec: JobSpec, **fields: int) -> "Future[Reply]":
    """Submit the job."""
    plain = {
        "job": JOB,
        "attempt": attempt,
        "spec": spec.to_plain(),
        "zone": "z",
        "host": "h",
        "path": f"/q/{JOB}",
        **fields,
    }
    return world.send_request(Request(Operation.SUBMIT, plain))


def withdraw(world: FleetModel, attempt: str) -> "Future[Reply]":
    """Withdraw a submission of the job."""
    return world.send_request(Request(Operation.WITHDRAW, {"job": JOB, "attempt": attempt}))


def running_on(world: FleetModel) -> list[ModelUpstream]:
    """Return the upstreams with a run."""
    return [each for each in world.upstreams.values() if each.runs]


def start_elsewhere(world: FleetModel) -> ModelUpstream:
    """Submit the job, cut its upstream off until the task runs elsewhere, and return the first."""
    submit(world, "x", answered_at_end(1))
    world.run(0.1)
    (lost,) = running_on(world)
    lost.is_reachable = False
    world.run(1.7)
    assert len(running_on(world)) == 1
    assert running_on(world)[0] is not lost
    return lost


class TestRunNumbers:
    """Run numbers go on when a forgotten job is submitted again."""

    @pytest.mark.parametrize("regained_after_s", [0.3, 0.6, 1.0])
    def test_the_end_of_a_run_of_the_forgotten_job_does_not_hang_it(
        self, regained_after_s: float
    ) -> None:
        """Guards against run numbers that are used again."""
        world = make()
        world._work[JOB] = (1500.0, 6800)
        submit(world, "x", answered_at_end(1))
        world.run(0.1)
        (lost,) = running_on(world)
        withdraw(world, "x")
        lost.is_reachable = False
        world.run(2.2)
        again = submit(world, "y", answered_at_end(1))
        world.run(regained_after_s)
        lost.is_reachable = True
        world.run(8.0)
        assert world.violations == []
        assert again.result(timeout=0).fields == {"state": "completed"}

    def test_a_run_that_failed_unwatched_does_not_delay_the_next(self) -> None:
        """Guards against a start that its upstream rejects, because the number was used there."""
        world = make(upstreams=1)
        world._work[JOB] = (300.0, 6800)
        submit(world, "x", answered_at_end(1))
        world.run(0.1)
        (only,) = running_on(world)
        only.fail_share = 1.0
        withdraw(world, "x")
        world.run(1.0)
        only.fail_share = 0.0
        at = world.clock.now()
        again = submit(world, "y", answered_at_end(1))
        while not again.done() and world.clock.now() < at + 9:
            world.run(0.005)
        assert again.done()
        # The task takes 0.3 s.
        assert world.clock.now() - at < 0.33


class TestOldEnds:
    """The end of an older run says nothing of a newer one on another upstream."""

    def test_a_task_does_not_run_twice_when_an_older_run_ends(self) -> None:
        """Guards against dropping the newer run, so that a returning caller starts another."""
        world = make()
        world._work[JOB] = (9000.0, 6800)
        lost = start_elsewhere(world)
        withdraw(world, "x")
        world.run(0.05)
        lost.is_reachable = True
        world.run(1.0)
        submit(world, "y", answered_at_end(1))
        world.run(1.0)
        assert world.violations == []

    def test_the_newer_run_is_stopped_when_the_caller_does_not_return(self) -> None:
        """Guards against a run that nobody waits for and nobody stops."""
        world = make()
        world._work[JOB] = (9000.0, 6800)
        lost = start_elsewhere(world)
        withdraw(world, "x")
        world.run(0.05)
        lost.is_reachable = True
        world.run(4.0)
        assert not running_on(world)

    def test_a_new_leader_keeps_the_newer_run(self) -> None:
        """Guards against two runs at a time after a change of leader."""
        world = make()
        world._work[JOB] = (9000.0, 6800)
        lost = start_elsewhere(world)
        world.change_leader(gap_s=0.2)
        world.run(0.5)
        lost.is_reachable = True
        world.run(0.4)
        submit(world, "y", answered_at_end(1))
        world.run(2.0)
        assert world.violations == []

    def test_all_resources_are_free_in_the_end(self) -> None:
        """Guards against a second record of a run in place of the first one."""
        world = make(upstreams=2)
        world._work[JOB] = (9000.0, 6800)
        lost = start_elsewhere(world)
        withdraw(world, "x")
        world.run(0.05)
        lost.is_reachable = True
        world.run(1.0)
        lost.is_reachable = False
        world.run(0.5)
        submit(world, "y", answered_at_end(1))
        world.run(0.5)
        withdraw(world, "y")
        lost.is_reachable = True
        world.run(20.0)
        assert not running_on(world)
        assert world.authority._leader is not None
        fleet = world.authority._leader.fleet.values()
        assert [each.free for each in fleet] == [each.capacity for each in fleet]


class TestGangs:
    """The members of a gang start together."""

    @pytest.mark.parametrize("lost_index", [0, 1])
    def test_members_start_together_when_the_job_is_submitted_again(self, lost_index: int) -> None:
        """Guards against a gang of which one member is rejected: its number was used there."""
        world = make(upstreams=2)
        world._work[JOB] = (9000.0, 12_000)
        gang = Step(2, 12_000, 64, 0, 100, is_gang=True)
        spec = JobSpec("text", (gang,), answers_at_end=True)
        submit(world, "x", spec)
        world.run(0.1)
        assert len(running_on(world)) == 2
        withdraw(world, "x")
        world.run(3.0)
        assert not running_on(world)
        first = list(world.upstreams)[lost_index]
        world.kill_upstream(first)
        world.add_upstream(first)
        world.run(0.2)
        submit(world, "y", spec)
        world.run(2.0)
        assert sum(len(each.runs) for each in world.upstreams.values()) == 2


class TestWithdrawals:
    """Submissions that wait no more do not keep a job going."""

    def test_a_withdrawn_submission_is_answered(self) -> None:
        """Guards against calls that stay open in the frontend until their timeout."""
        world = make()
        world._work[JOB] = (9000.0, 6800)
        reply = submit(world, "x", answered_at_end(1))
        world.run(0.1)
        withdraw(world, "x")
        world.run(0.1)
        assert reply.done()

    def test_a_submission_that_timed_out_no_longer_counts(self) -> None:
        """Guards against work for callers that are gone after a frontend was killed or said 504."""
        world = make()
        world._work[JOB] = (9000.0, 6800)
        submit(world, "x", answered_at_end(1), wait_ms=400)
        world.run(1.7)
        submit(world, "y", answered_at_end(1), wait_ms=10_000)
        world.run(0.1)
        withdraw(world, "y")
        world.run(4.0)
        assert not running_on(world)

    def test_the_newest_withdrawals_are_remembered(self) -> None:
        """Guards against forgetting those that may still overtake their submission."""
        attempts = Attempts(clock=ManualClock(start=0.0))
        for number in range(MAX_WITHDRAWALS + 1):
            attempts.withdraw("job", f"{number}")
        assert not attempts.is_withdrawn("0")
        assert attempts.is_withdrawn(f"{MAX_WITHDRAWALS}")


class TestOtherSpec:
    """Another job under the identity of a known one does no harm."""

    @pytest.mark.parametrize("is_new", [True, False])
    def test_another_spec_under_the_same_id(self, is_new: bool) -> None:
        """Guards against a submission that raises in the leader's event loop, half carried out."""
        world = make()
        world._work[JOB] = (400.0, 6800)
        step = Step(1, 6800, 64, 0, 100)
        submit(world, "x", JobSpec("text", (step, step), answers_at_end=True))
        world.run(0.1)
        if is_new:
            withdraw(world, "x")
        world.run(0.1)
        again = submit(world, "y", answered_at_end(1))
        world.run(9.0)
        assert again.done()
        assert not running_on(world)

    def test_fewer_tasks_under_the_same_id(self) -> None:
        """Guards against ``completed`` though a task has not ended."""
        world = make()
        world._work[JOB] = (300.0, 6800)
        submit(world, "x", answered_at_end(3))
        world.run(0.1)
        withdraw(world, "x")
        world.run(0.6)
        again = submit(world, "y", answered_at_end(1))
        world.run(2.0)
        assert again.result(timeout=0).fields == {"state": "completed"}
        assert world.authority._leader is not None
        assert JOB not in world.authority._leader.progress


class TestRefusals:
    """A refusal says that the job has not run."""

    def test_an_adopted_job_is_not_refused_as_not_run(self) -> None:
        """Guards against a false refusal of a job whose run was adopted and then lost."""
        world = make(upstreams=1)
        world._work[JOB] = (900.0, 6800)
        spec = answered_at_end(1)
        submit(world, "x", spec)
        world.run(0.1)
        (only,) = running_on(world)
        withdraw(world, "x")
        world.run(0.2)
        again = submit(world, "y", spec)
        world.run(0.05)
        only.is_reachable = False
        world.run(8.0)
        assert not (again.done() and again.result(timeout=0).code is ResultCode.OVERLOADED)


class TestIncarnations:
    """Tasks of an upstream that restarts, and restarts or leaves again, are not forgotten."""

    @pytest.mark.parametrize("is_logged", [True, False])
    def test_the_tasks_run_again_after_two_crashes_before_the_first_list(
        self, is_logged: bool
    ) -> None:
        """Guards against a task that no list and no timer queues again, so that its job hangs."""
        world = make(upstreams=2)
        world._work[JOB] = (500.0, 6800)
        reply = submit(world, "x", job(1) if is_logged else answered_at_end(1))
        world.run(0.1)
        (lost,) = running_on(world)
        name = lost.state.upstream_id
        world.kill_upstream(name)
        world.add_upstream(name).is_reachable = False
        world.run(0.3)
        world.kill_upstream(name)
        world.add_upstream(name)
        world.run(9.0)
        assert world.violations == []
        if is_logged:
            assert world.state_of(JOB) == "completed"
        else:
            assert reply.done()

    @pytest.mark.parametrize("is_logged", [True, False])
    def test_the_tasks_run_again_when_the_restarted_upstream_leaves(self, is_logged: bool) -> None:
        """Guards against a hanging job when the upstream leaves before it has listed its runs."""
        world = make(upstreams=2)
        world._work[JOB] = (500.0, 6800)
        reply = submit(world, "x", job(1) if is_logged else answered_at_end(1))
        world.run(0.1)
        (lost,) = running_on(world)
        name = lost.state.upstream_id
        world.kill_upstream(name)
        world.add_upstream(name).is_reachable = False
        world.run(0.3)
        world.send_request(Request(Operation.LEAVE, {"upstream": name}))
        world.run(9.0)
        assert world.violations == []
        if is_logged:
            assert world.state_of(JOB) == "completed"
        else:
            assert reply.done()


class TestLease:
    """Orders that are due while the leader has no lease are sent when it has one again."""

    def test_a_start_that_is_due_without_a_lease_is_sent_later(self) -> None:
        """Guards against a run whose start order is never sent."""
        world = make(upstreams=1)
        (only,) = world.upstreams.values()
        only.is_reachable = False
        world._work[JOB] = (300.0, 6800)
        reply = submit(world, "x", answered_at_end(1))
        world.run(0.09)
        world.log.is_serving = False
        only.is_reachable = True
        world.run(0.4)
        world.log.is_serving = True
        world.run(8.0)
        assert reply.done()

    def test_a_stop_that_is_due_without_a_lease_is_sent_later(self) -> None:
        """Guards against a run that nobody waits for and nobody stops."""
        world = make(upstreams=1)
        world._work[JOB] = (9000.0, 6800)
        submit(world, "x", answered_at_end(1))
        world.run(0.1)
        (only,) = running_on(world)
        withdraw(world, "x")
        world.run(1.7)
        only.is_reachable = False
        world.run(0.17)
        world.log.is_serving = False
        only.can_reply = only.is_reachable = True
        world.run(0.4)
        world.log.is_serving = True
        world.run(3.0)
        assert not running_on(world)
