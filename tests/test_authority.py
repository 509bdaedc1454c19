"""Jobs under one leader: starts, ends, lost answers, unreachable upstreams."""

import itertools
from collections.abc import Callable

import pytest

from kumquatlift.authority import (
    JobSpec,
    Operation,
    OrderResult,
    PollAnswer,
    PollOrder,
    Request,
    Step,
    UpstreamRef,
)
from kumquatlift.codes import ResultCode
from tests.authority_world import QUEUE, answered_at_end, job, make
from tools.fleet_model import FleetModel


def lose_answers(world: FleetModel, lost: set[int], monkeypatch: pytest.MonkeyPatch) -> None:
    """Drop the answers to the polls with these numbers, counted from 0."""
    poll = world.poll
    numbers = itertools.count()

    def lossy_poll(ref: UpstreamRef, order: PollOrder, done: Callable[[PollAnswer], None]) -> None:
        if next(numbers) not in lost:
            poll(ref, order, done)
            return
        timeout_s = 0.2 + order.wait_ms / 1000
        world.later(timeout_s, world.loop.post, done, PollAnswer(OrderResult.UNKNOWN))

    monkeypatch.setattr(world, "poll", lossy_poll)


class TestJobs:
    """What callers observe."""

    def test_a_job_is_accepted_run_and_completed(self) -> None:
        world = make()
        reply = world.submit("a" * 16, job(4), work_ms=100)
        world.run(0.05)
        assert reply.result(timeout=0).code is ResultCode.ACCEPTED
        assert world.state_of("a" * 16) == "running"
        world.run(0.3)
        assert world.state_of("a" * 16) == "completed"
        assert world.starts == 4
        assert world.violations == []

    def test_a_job_that_is_submitted_again_runs_once(self) -> None:
        world = make()
        for _ in range(3):
            world.submit("a" * 16, job(2), work_ms=100)
        world.run(0.5)
        again = world.submit("a" * 16, job(2), work_ms=100)
        world.run(0.5)
        assert again.result(timeout=0).code is ResultCode.ACCEPTED
        assert world.starts == 2

    def test_an_unknown_queue_is_refused(self) -> None:
        world = make()
        reply = world.submit("a" * 16, job(), work_ms=10, path="/other/")
        world.run(0.05)
        assert reply.result(timeout=0).code is ResultCode.UNKNOWN_SERVICE

    def test_a_cancelled_job_stops(self) -> None:
        world = make()
        world.submit("a" * 16, job(3), work_ms=5000)
        world.run(0.2)
        world.send_request(Request(Operation.CANCEL, {"job": "a" * 16}))
        world.run(0.2)
        assert world.state_of("a" * 16) == "cancelled"
        assert not any(upstream.runs for upstream in world.upstreams.values())

    def test_a_task_that_fails_everywhere_fails_the_job_after_its_attempts(self) -> None:
        world = make()
        for upstream in world.upstreams.values():
            upstream.fail_share = 1.0
        world.submit("a" * 16, job(), work_ms=50)
        world.run(8.0)
        assert world.state_of("a" * 16) == "failed"
        assert world.starts == QUEUE.max_attempts

    def test_dependent_steps_run_in_order(self) -> None:
        world = make()
        steps = (Step(2, 6800, 64, 0, 50), Step(1, 6800, 64, 0, 50, (0,)))
        world.submit("a" * 16, JobSpec("text", steps), work_ms=100)
        world.run(0.1)
        assert world.starts == 2
        world.run(0.4)
        assert world.starts == 3
        assert world.state_of("a" * 16) == "completed"


class TestCapacity:
    """The capacity of an upstream is never exceeded."""

    def test_tasks_beyond_the_capacity_wait(self) -> None:
        world = make(upstreams=2)
        for number in range(10):
            world.submit(f"{number:016x}", job(3), work_ms=100)
        world.run(3.0)
        assert world.violations == []
        assert all(world.state_of(f"{n:016x}") in ("completed", "") for n in range(10))

    def test_a_draining_upstream_gets_no_tasks(self) -> None:
        world = make(upstreams=2)
        state = world.upstreams["u0"].state._replace(is_draining=True)
        reply = world.announce(state)
        world.run(0.1)
        assert reply.result(timeout=0).code is ResultCode.ACCEPTED
        world.submit("a" * 16, job(4), work_ms=100)
        world.run(0.1)
        assert not world.upstreams["u0"].runs
        assert world.upstreams["u1"].runs


class TestLostAnswers:
    """Orders that are not answered, some of which are carried out seconds later."""

    @pytest.mark.parametrize("seed", range(5))
    def test_late_orders_start_nothing_twice(self, seed: int) -> None:
        world = make(upstreams=4, seed=seed, unanswered_share=0.2)
        for number in range(40):
            world.submit(f"{number:016x}", job(2), work_ms=150)
            world.run(0.1)
        world.run(15.0)
        assert world.violations == []
        ended = [world.state_of(f"{n:016x}") for n in range(40)]
        assert "running" not in ended
        assert "queued" not in ended

    def test_tasks_of_an_unreachable_upstream_start_elsewhere_after_its_lease(self) -> None:
        world = make(upstreams=2)
        world.submit("a" * 16, job(4), work_ms=2000)
        world.run(0.2)
        world.upstreams["u0"].is_reachable = False
        world.run(8.0)
        assert world.state_of("a" * 16) == "completed"
        assert world.violations == []

    def test_the_lease_of_an_upstream_whose_answers_are_lost_lapses(self) -> None:
        """Guards against polls that renew the lease of an upstream whose answers are lost.

        Its tasks could never start elsewhere, and an end that it lists after the fault would count
        although the task has started again.
        """
        world = make(upstreams=2)
        world.submit("a" * 16, job(2), work_ms=800)
        world.run(0.2)
        holder = next(each for each in world.upstreams.values() if each.runs)
        holder.can_reply = False
        world.run(1.6)
        assert holder.runs == {}
        other = next(each for each in world.upstreams.values() if each is not holder)
        assert other.runs or world.state_of("a" * 16) == "completed"
        holder.can_reply = True
        world.run(4.0)
        assert world.state_of("a" * 16) == "completed"
        assert world.violations == []

    def test_a_completion_whose_answer_was_lost_is_seen_soon(self) -> None:
        """Guards against completions that are seen only after the timeout of a long poll."""
        world = make()
        for upstream in world.upstreams.values():
            upstream.can_reply = False
        reply = world.submit("a" * 16, answered_at_end(1), work_ms=100)
        world.run(0.02)
        for upstream in world.upstreams.values():
            upstream._waiting.clear()
            upstream.can_reply = True
        world.run(0.28)
        assert reply.done()
        assert world.violations == []

    def test_a_completion_is_seen_if_the_next_poll_is_lost_as_well(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against completions that are seen only after the timeout of a long poll, 0.65 s.

        The run is overdue after 0.16 s; from then on each poll without an answer is repeated.
        """
        world = make(upstreams=1)
        lose_answers(world, {0, 1}, monkeypatch)
        reply = world.submit("a" * 16, answered_at_end(1), work_ms=100)
        world.run(0.3)
        assert reply.done()

    def test_a_completion_after_a_lost_poll_is_seen_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a lost poll that counts as open until its timeout and blocks the next."""
        world = make(upstreams=1)
        lose_answers(world, {0}, monkeypatch)
        first = world.submit("a" * 16, answered_at_end(1), work_ms=100)
        world.run(0.25)
        assert first.done()
        second = world.submit("b" * 16, answered_at_end(1), work_ms=50)
        world.run(0.08)
        assert second.done()

    def test_an_upstream_that_has_answered_since_counts_as_reachable(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against upstreams that get no tasks because of unanswered polls long ago."""
        world = make(upstreams=1)
        lose_answers(world, {0, 2, 4}, monkeypatch)
        leader = world.authority._leader
        assert leader is not None
        for name in "abc":
            world.submit(name * 16, job(1, estimate_ms=20), work_ms=50)
            world.run(0.12)
        for _ in range(100):
            assert leader.fleet["u0"].unreachable_since is None
            world.run(0.01)

    def test_a_run_without_progress_is_stopped_and_runs_elsewhere(self) -> None:
        world = make(upstreams=2)
        world.submit("a" * 16, job(1), work_ms=100)
        world.run(0.05)
        holder = next(each for each in world.upstreams.values() if each.runs)
        holder.is_hanging = True
        world.run(3.0)
        assert world.state_of("a" * 16) == "completed"
        assert world.violations == []

    def test_a_run_far_longer_than_declared_is_not_stopped_repeatedly(self) -> None:
        """Guards against a task that never ends because its progress is rarely visible."""
        world = make(upstreams=2)
        world.submit("a" * 16, job(1, estimate_ms=100), work_ms=90_000)
        world.run(130.0)
        assert world.state_of("a" * 16) == "completed"
        assert world.starts <= 4
