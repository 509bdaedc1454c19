"""Tests that a new leader refuses no job that an earlier one may have started.

A refusal (400, 404, 429 or 503) says that the job has not run. A caller whose frontend was lost
submits its job again at another one, which does not know of the first submission.
"""

from concurrent.futures import Future

import pytest

from kumquatlift.authority import JobSpec, Operation, Reply, Request, Step
from kumquatlift.authority._requests import Requests
from kumquatlift.codes import ResultCode
from tests.authority_world import QUEUE, answered_at_end, make
from tools.fleet_model import FleetModel

JOB = "a" * 16


def submit_elsewhere(world: FleetModel, spec: JobSpec, job_id: str = JOB) -> "Future[Reply]":
    """Submit a job as a frontend that does not know of an earlier submission."""
    fields = {"job": job_id, "attempt": f"second {job_id}", "spec": spec.to_plain(), "zone": "z"}
    fields |= {"host": "h", "path": f"/q/{job_id}"}
    fut = world.send_request(Request(Operation.SUBMIT, fields))
    world.loop.run_pending()
    return fut


def drop_queue(world: FleetModel) -> None:
    world.configure(QUEUE._replace(prefix="/other/"))


def code(fut: "Future[Reply]") -> ResultCode:
    return fut.result(timeout=0).code


class TestBeforeTheRunsOfEarlierLeadersAreKnown:
    """Guards against refusals while recovery is open, when runs may be unknown."""

    def test_a_job_whose_queue_was_dropped(self) -> None:
        """404 was answered 10 ms before the list that names the job's runs."""
        world = make()
        world.submit(JOB, answered_at_end(2), work_ms=2000)
        world.run(0.1)
        drop_queue(world)
        world.change_leader(gap_s=0.4)
        world.run(0.401)
        again = submit_elsewhere(world, answered_at_end(2))
        world.run(0.5)
        assert code(again) is ResultCode.TIMED_OUT

    def test_a_job_that_never_ran_is_refused_when_recovery_ends(self) -> None:
        """Guards against a submission that is kept for longer than the earlier leases last."""
        world = make(upstreams=1)
        drop_queue(world)
        world.upstreams["u0"].is_reachable = False
        world.change_leader(gap_s=0.1)
        world.run(0.4)
        again = submit_elsewhere(world, answered_at_end(1))
        assert not again.done()
        world.run(1.1)
        assert code(again) is ResultCode.UNKNOWN_SERVICE
        assert world.starts == 0

    def test_a_job_of_a_queue_that_never_was_is_refused_at_once(self) -> None:
        world = make(upstreams=1)
        world.upstreams["u0"].is_reachable = False
        world.change_leader(gap_s=0.1)
        world.run(0.4)
        fields = {"job": JOB, "spec": answered_at_end(1).to_plain(), "zone": "z"}
        fields |= {"host": "h", "path": f"/never/{JOB}"}
        fut = world.send_request(Request(Operation.SUBMIT, fields))
        world.run(0.01)
        assert code(fut) is ResultCode.UNKNOWN_SERVICE


class TestEndsOfUnknownJobs:
    """Guards against refusals of jobs whose runs have ended otherwise than done."""

    def lose_leader_with_end(self, how: str) -> FleetModel:
        """Return a world whose new leader lists the end of a run of an unknown job."""
        world = make(upstreams=1)
        upstream = world.upstreams["u0"]
        upstream.fail_share = 1.0 if how == "failed" else 0.0
        world.submit(JOB, answered_at_end(1), work_ms=150 if how == "failed" else 9000)
        world.run(0.1)
        upstream.can_reply = False
        if how == "lapsed":
            upstream.is_reachable = False
        world.change_leader(gap_s=1.5 if how == "lapsed" else 0.2)
        world.run(0.15)
        upstream.fail_share = 0.0
        upstream.can_reply = upstream.is_reachable = True
        world.run(1.5)
        assert not upstream.runs
        return world

    @pytest.mark.parametrize("how", ["failed", "lapsed"])
    def test_a_job_whose_queue_was_dropped(self, how: str) -> None:
        world = self.lose_leader_with_end(how)
        drop_queue(world)
        again = submit_elsewhere(world, answered_at_end(1))
        world.run(0.1)
        assert code(again) is ResultCode.TIMED_OUT

    @pytest.mark.parametrize("how", ["failed", "lapsed"])
    def test_a_job_that_admission_refuses(self, how: str) -> None:
        world = self.lose_leader_with_end(how)
        for number in range(40):
            world.submit(f"{number:016x}", answered_at_end(2), work_ms=100)
        world.run(0.02)
        other = submit_elsewhere(world, answered_at_end(1), "b" * 16)
        again = submit_elsewhere(world, answered_at_end(1))
        world.run(15.0)
        assert code(other) is ResultCode.OVERLOADED
        assert code(again) is ResultCode.ACCEPTED

    def test_a_job_that_a_leader_has_stopped(self) -> None:
        """The new leader stops runs of unknown jobs after a second, and acknowledges their ends."""
        world = make(upstreams=1)
        world.submit(JOB, answered_at_end(1), work_ms=9000)
        world.run(0.1)
        drop_queue(world)
        world.change_leader(gap_s=0.2)
        world.run(2.0)
        assert not world.upstreams["u0"].runs
        again = submit_elsewhere(world, answered_at_end(1))
        world.run(0.1)
        assert code(again) is ResultCode.TIMED_OUT

    def test_they_are_remembered_for_ten_seconds(self) -> None:
        world = self.lose_leader_with_end("failed")
        drop_queue(world)
        world.run(11.0)
        again = submit_elsewhere(world, answered_at_end(1))
        world.run(0.1)
        assert code(again) is ResultCode.UNKNOWN_SERVICE


class TestLeadersThatStepDown:
    """Guards against "not run" of a job whose runs a leader has learned of after its submission."""

    def test_a_job_of_which_an_end_was_listed(self) -> None:
        """Its first step was done under an earlier leader; nothing runs, and the second waits."""
        world = make(upstreams=1)
        first = world.upstreams["u0"]
        step = Step(1, 6800, 64, 0, 100)
        spec = JobSpec("text", (step, step._replace(after=(0,))), answers_at_end=True)
        world.submit(JOB, spec, work_ms=150)
        world.run(0.1)
        world.add_upstream("u1")
        world.run(0.03)
        first.can_reply = False
        world.change_leader(gap_s=0.2)
        world.run(0.25)
        again = submit_elsewhere(world, spec)
        for upstream in world.upstreams.values():
            world.announce(upstream.state._replace(is_draining=True))
        world.run(0.03)
        first.can_reply = True
        world.run(0.3)
        assert world.starts == 1
        assert not first.runs
        assert not again.done()
        world.change_leader(gap_s=0.4)
        world.run(0.1)
        assert code(again) is ResultCode.CLAIM_UNKNOWN


class TestHeldSubmissions:
    """Guards against submissions that are never answered because another one can't be handled."""

    def test_an_error_of_one_costs_that_one_only(self, monkeypatch: pytest.MonkeyPatch) -> None:
        world = make()
        world.upstreams["u0"].is_reachable = False
        drop_queue(world)
        world.change_leader(gap_s=0.1)
        world.run(0.15)
        held = [submit_elsewhere(world, answered_at_end(1), c * 16) for c in "abc"]
        assert not any(each.done() for each in held)
        submit = Requests._submit

        def fail_for_one(requests: Requests, fields: dict[str, str], answer: object) -> None:
            if fields["job"] == "a" * 16:
                raise RuntimeError("a fault of the leader")
            submit(requests, fields, answer)  # type: ignore[arg-type]

        monkeypatch.setattr(Requests, "_submit", fail_for_one)
        world.upstreams["u0"].is_reachable = True
        world.run(2.0)
        assert [code(each) for each in held] == [
            ResultCode.TIMED_OUT,
            ResultCode.UNKNOWN_SERVICE,
            ResultCode.UNKNOWN_SERVICE,
        ]
