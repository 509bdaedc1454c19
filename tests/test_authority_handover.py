"""Changes of the leader, and jobs that aren't in the log and so are known to their leader only."""

from collections.abc import Callable
from typing import Any

import pytest

from kumquatlift.authority import (
    EndReason,
    JobSpec,
    Operation,
    OrderResult,
    PollAnswer,
    PollOrder,
    Request,
    Step,
    TaskEnd,
    TaskKey,
    UpstreamRef,
)
from kumquatlift.codes import ResultCode
from tests.authority_world import QUEUE, answered_at_end, job, make
from tools.fleet_model import FleetModel


class TestChangeOfLeader:
    """A new leader adopts running tasks and starts no task twice."""

    @pytest.mark.parametrize("seed", range(6))
    def test_nothing_runs_twice(self, seed: int) -> None:
        world = make(upstreams=4, seed=seed, unanswered_share=0.05)
        for number in range(60):
            world.submit(f"{number:016x}", job(2), work_ms=120)
            world.run(0.05)
            if number in (15, 30, 45):
                world.change_leader(gap_s=0.3)
        world.run(15.0)
        assert world.violations == []

    def test_running_tasks_are_taken_over(self) -> None:
        world = make()
        world.submit("a" * 16, job(4), work_ms=900)
        world.run(0.2)
        world.change_leader(gap_s=0.3)
        world.run(1.5)
        assert world.starts == 4
        assert world.state_of("a" * 16) == "completed"

    def test_an_end_that_was_listed_blocks_its_task_until_the_commit(self) -> None:
        """Guards against starting a task between the list of its end and the commit."""
        world = make()
        world.submit("a" * 16, job(4), work_ms=300)
        world.run(0.2)
        world.change_leader(gap_s=0.3)
        world.run(3.0)
        assert world.starts == 4
        assert world.violations == []
        assert world.state_of("a" * 16) == "completed"

    def test_the_end_of_one_task_does_not_release_the_others_during_recovery(self) -> None:
        """Guards against starting a task that may run on an upstream that has not answered yet.

        The committed end of another task of the job must not queue its remaining tasks.
        """
        world = FleetModel()
        world.add_upstream("fast", speed=4.0, cpu_milli=6800)
        world.add_upstream("slow", speed=0.5, cpu_milli=6800)
        world.run(0.2)
        world.configure(QUEUE)
        world.submit("a" * 16, job(2), work_ms=800)
        world.run(0.1)
        world.change_leader(gap_s=0.2)
        world.upstreams["slow"].can_reply = False
        world.run(0.4)
        world.upstreams["slow"].can_reply = True
        world.run(4.0)
        assert world.violations == []
        assert world.state_of("a" * 16) == "completed"

    def test_a_task_that_failed_before_waits_for_the_end_of_recovery_and_starts_once(self) -> None:
        """Guards against starting a task twice after recovery.

        If a failed end queues the task at once during recovery, the end of recovery queues it a
        second time. Found by tools/fuzz_leases.py, seed 119.
        """
        world = make(upstreams=3)
        for upstream in world.upstreams.values():
            upstream.fail_share = 1.0
        world.submit("a" * 16, job(2), work_ms=300)
        world.run(0.2)
        idle = next(each for each in world.upstreams.values() if not each.runs)
        idle.is_reachable = False
        world.change_leader(gap_s=0.3)
        world.run(0.5)
        for upstream in world.upstreams.values():
            upstream.fail_share = 0.0
        assert world.starts == 2
        world.run(2.0)
        assert world.starts == 4
        assert world.violations == []
        assert world.state_of("a" * 16) == "completed"

    def test_an_end_of_an_older_run_does_not_block_the_task(self) -> None:
        """Guards against a job that never ends.

        A new leader reads the end of the last run, which has lapsed, and then that of an older run,
        which was done on an upstream whose lease was over. The older end is ignored when it is
        committed, so the task must not wait for its commit. Found by tools/fuzz_leases.py, seed
        221.
        """
        world = make(upstreams=3)
        world.submit("a" * 16, job(1), work_ms=5000)
        world.run(0.2)
        for upstream in world.upstreams.values():
            upstream.is_reachable = False
        world.change_leader(gap_s=0.3)
        world.run(0.4)
        leader = world.authority._leader
        assert leader is not None
        task = TaskKey("a" * 16, 0, 0, 0)
        first, second, _ = leader.fleet.values()
        now = world.clock.now()
        leader.runs.end(first, TaskEnd(task, 1001, EndReason.LAPSED), (now, now))
        leader.runs.end(second, TaskEnd(task, 2, EndReason.DONE), (now, now))
        assert task not in leader.progress["a" * 16].running

    def test_tasks_of_a_lost_upstream_wait_for_the_longest_lease(self) -> None:
        world = make(upstreams=2)
        world.submit("a" * 16, job(2), work_ms=3000)
        world.run(0.2)
        for upstream in world.upstreams.values():
            upstream.is_reachable = not upstream.runs
        world.change_leader(gap_s=0.3)
        world.run(8.0)
        assert world.violations == []
        assert world.state_of("a" * 16) == "completed"

    @pytest.mark.parametrize("gap_s", [0.3, 0.6, 0.9])
    def test_recovery_counts_from_the_last_lease_and_not_from_the_election(
        self, gap_s: float
    ) -> None:
        """Load: jobs arrive while the upstreams of a zone are unreachable for a new leader.

        If the wait counted from the election, each change of leader would cost the election and a
        whole lease of 1 s.
        """
        world = make(upstreams=2)
        unreachable, _ = world.upstreams.values()
        unreachable.is_reachable = False
        world.change_leader(gap_s=gap_s)
        lost_at = world.clock.now()
        world.run(gap_s + 0.05)
        world.submit("a" * 16, job(estimate_ms=1000)._replace(answers_at_end=True), work_ms=50)
        for _ in range(200):
            if not world.starts:
                world.run(0.01)
        # Bounds: the longest lease on a clock that is 2% slow; the margin and a round trip on top.
        assert 1.02 < world.clock.now() - lost_at < 1.02 + 0.1 + 0.06
        assert world.violations == []

    def test_recovery_ends_with_the_last_list(self) -> None:
        """Load: a leader is lost; all upstreams answer the first polls within some milliseconds.

        Without waiting jobs to be started at once, each loss would cost up to a tick of 50 ms more.
        """
        world = make(upstreams=3)
        world.submit("a" * 16, job(estimate_ms=1000)._replace(answers_at_end=True), work_ms=3000)
        world.run(0.1)
        for gap_s in (0.4, 0.417, 0.433):
            before = world.starts
            world.change_leader(gap_s=gap_s)
            world.run(gap_s + 0.001)
            # The entry that begins a term is applied as an event; the leader begins after it.
            world.loop.post(lambda: None)
            world.run(0.001)
            world.submit(f"{before:016x}", answered_at_end(1), work_ms=50)
            world.run(0.006)
            assert world.starts == before + 1
            world.run(0.2)
        assert world.violations == []

    @pytest.mark.parametrize("lost", [1, 2, 3])
    def test_lost_connects_to_one_upstream_do_not_prolong_recovery(
        self, monkeypatch: pytest.MonkeyPatch, lost: int
    ) -> None:
        """Load: a leader of 176 upstreams is lost while a zone loses packets.

        Two connects to one of them were lost, and its backoff made recovery 0.4 s longer.
        """
        world = make(upstreams=3)
        world.change_leader(gap_s=0.3)
        polls: list[float] = []
        poll = world.poll

        def poll_after_lost_connects(
            ref: UpstreamRef, order: PollOrder, done: Callable[[PollAnswer], None]
        ) -> None:
            if ref.upstream_id == "u0":
                polls.append(world.clock.now())
                if len(polls) <= lost:
                    not_sent = PollAnswer(OrderResult.NOT_SENT)
                    world.later(0.12, world.loop.post, done, not_sent)
                    return
            poll(ref, order, done)

        monkeypatch.setattr(world, "poll", poll_after_lost_connects)
        while not polls:
            world.run(0.001)
        world.run(0.02)
        world.submit("a" * 16, job(estimate_ms=1000)._replace(answers_at_end=True), work_ms=50)
        while not world.starts and world.clock.now() < polls[0] + 2:
            world.run(0.001)
        # A second poll is sent after 80 to 100 ms, and another one each 40 to 60 ms.
        assert world.clock.now() - polls[0] < 0.06 + 0.05 * lost

    def test_an_upstream_that_is_not_heard_is_not_polled_too_often(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Load: a zone with a third of the upstreams is cut off when a new leader begins."""
        world = make(upstreams=2)
        world.upstreams["u0"].is_reachable = False
        polls: list[float] = []
        poll = world.poll

        def count(ref: UpstreamRef, order: PollOrder, done: Callable[[PollAnswer], None]) -> None:
            if ref.upstream_id != "u0":
                poll(ref, order, done)
                return
            polls.append(world.clock.now())
            world.later(0.12, world.loop.post, done, PollAnswer(OrderResult.NOT_SENT))

        monkeypatch.setattr(world, "poll", count)
        world.change_leader(gap_s=0.3)
        world.run(0.3 + 2.0)
        first = [at for at in polls if at < polls[0] + 0.5]
        assert len(first) <= 14
        assert len(polls) <= 20

    @pytest.mark.parametrize("offset_s", [0.0, 0.01, 0.02, 0.03, 0.04])
    def test_recovery_ends_with_the_earlier_leases(self, offset_s: float) -> None:
        """Load: jobs wait while a zone is cut off. They start as soon as its leases are over."""
        world = make(upstreams=2)
        world.upstreams["u0"].is_reachable = False
        world.run(offset_s)
        world.change_leader(gap_s=0.3)
        lost_at = world.clock.now()
        world.run(0.35)
        world.submit("a" * 16, job(estimate_ms=1000)._replace(answers_at_end=True), work_ms=50)
        while not world.starts and world.clock.now() < lost_at + 2:
            world.run(0.001)
        # The longest lease on a clock that is 2% slow, the margin, and a check each 20 ms.
        assert 1.1204 < world.clock.now() - lost_at < 1.1204 + 0.024

    def test_a_lost_answer_to_the_first_poll_does_not_prolong_recovery(self) -> None:
        """Load: the leader changes while 6% of all answers are lost, those of 11 upstreams of 176.

        Jobs must not wait until the first polls time out, which takes 0.2 s.
        """
        world = make(upstreams=3)
        unanswering = world.upstreams["u0"]
        unanswering.can_reply = False
        world.change_leader(gap_s=0.3)
        world.run(0.35)
        unanswering.can_reply = True
        world.submit("a" * 16, answered_at_end(1), work_ms=50)
        world.run(0.12)
        assert world.starts == 1

    def test_an_end_on_another_incarnation_than_the_order_was_meant_for_counts(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a second run of a task that is done.

        A start order may be carried out by the next incarnation of its upstream, which has no
        fencing token yet, and the run may end before the leader polls that incarnation. Found by
        tools/fuzz_leases.py, seed 415.
        """
        world = make(upstreams=1)
        orders: list[tuple[Any, ...]] = []
        monkeypatch.setattr(world, "start", lambda *order: orders.append(order))
        monkeypatch.setattr(world, "poll", lambda *_poll: None)
        world.submit("a" * 16, job(1), work_ms=30)
        world.run(0.03)
        world.kill_upstream("u0")
        world.add_upstream("u0")
        world.run(0.02)
        monkeypatch.undo()
        world.start(*orders[0])
        world.run(1.0)
        assert world.starts == 1
        assert world.violations == []
        assert world.state_of("a" * 16) == "completed"

    def test_an_end_on_another_incarnation_is_not_acknowledged_with_numbers_of_the_former_one(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a second run of a task that is done.

        Each incarnation numbers its ends from 1. A poll for the former one that arrives at the next
        one must not make it forget an end that nobody has read. Found by tools/fuzz_leases.py, seed
        9120.
        """
        world = make(upstreams=1)
        world.submit("b" * 16, job(1), work_ms=30)
        world.run(0.5)
        monkeypatch.setattr(world, "announce", lambda _state: None)
        world.kill_upstream("u0")
        world.add_upstream("u0")
        monkeypatch.undo()
        world.submit("a" * 16, job(1), work_ms=30)
        world.run(0.3)
        world.announce(world.upstreams["u0"].state)
        world.run(1.0)
        assert world.state_of("a" * 16) == "completed"
        assert world.starts == 2

    def test_the_tasks_of_an_upstream_that_restarts_twice_run_again(self) -> None:
        """Guards against a job that never ends.

        The second restart comes before the upstream has listed its runs after the first one. Found
        by tools/fuzz_leases.py, seed 500143.
        """
        world = make(upstreams=1)
        world.submit("a" * 16, job(1), work_ms=300)
        world.run(0.1)
        for _ in range(2):
            world.kill_upstream("u0")
            world.add_upstream("u0").is_reachable = False
            world.run(0.03)
        world.upstreams["u0"].is_reachable = True
        world.run(2.0)
        assert world.state_of("a" * 16) == "completed"

    def test_the_tasks_of_a_restarted_upstream_run_again(self) -> None:
        world = make(upstreams=2)
        world.submit("a" * 16, job(2), work_ms=1000)
        world.run(0.2)
        for name, upstream in list(world.upstreams.items()):
            if upstream.runs:
                world.kill_upstream(name)
                world.add_upstream(name)
        world.run(4.0)
        assert world.state_of("a" * 16) == "completed"
        assert world.violations == []


class TestUnloggedJobs:
    """Jobs that are answered at their end and aren't in the log."""

    def test_the_answer_comes_at_the_end_and_without_the_log(self) -> None:
        world = make()
        entries = world.log.entries
        reply = world.submit("a" * 16, answered_at_end(3), work_ms=100)
        world.run(0.05)
        assert not reply.done()
        world.run(0.2)
        assert reply.result(timeout=0).fields == {"state": "completed"}
        assert world.log.entries == entries

    def test_a_job_that_is_submitted_again_gets_the_same_answer(self) -> None:
        world = make()
        world.submit("a" * 16, answered_at_end(3), work_ms=100)
        again = world.submit("a" * 16, answered_at_end(3), work_ms=100)
        world.run(0.5)
        later = world.submit("a" * 16, answered_at_end(3), work_ms=100)
        world.run(0.1)
        assert (
            again.result(timeout=0).fields
            == later.result(timeout=0).fields
            == {"state": "completed"}
        )
        assert world.starts == 3

    @pytest.mark.parametrize("gap_s", [0.05, 0.4])
    def test_a_new_leader_adopts_the_runs_when_the_caller_submits_again(self, gap_s: float) -> None:
        world = make()
        lost = world.submit("a" * 16, answered_at_end(4), work_ms=700)
        world.run(0.2)
        world.change_leader(gap_s=0.2)
        world.run(0.2 + gap_s)
        assert lost.result(timeout=0).code is ResultCode.CLAIM_UNKNOWN
        again = world.submit("a" * 16, answered_at_end(4), work_ms=700)
        world.run(1.5)
        assert again.result(timeout=0).fields == {"state": "completed"}
        assert world.starts == 4
        assert world.violations == []

    def test_an_end_that_nobody_waited_for_counts_when_the_caller_submits_again(self) -> None:
        world = make()
        world.submit("a" * 16, answered_at_end(4), work_ms=300)
        world.run(0.2)
        world.change_leader(gap_s=0.3)
        world.run(0.6)
        again = world.submit("a" * 16, answered_at_end(4), work_ms=300)
        world.run(0.1)
        assert again.result(timeout=0).fields == {"state": "completed"}
        assert world.starts == 4

    def test_runs_of_a_job_that_nobody_submits_again_are_stopped(self) -> None:
        world = make()
        world.submit("a" * 16, answered_at_end(4), work_ms=9000)
        world.run(0.2)
        world.change_leader(gap_s=0.2)
        world.run(2.0)
        assert not any(upstream.runs for upstream in world.upstreams.values())

    def test_runs_of_unknown_size_keep_an_upstream_full(self) -> None:
        """Guards against exceeding the capacity beside runs whose jobs the new leader doesn't know.

        The size of such a run is unknown, so each one must count as the whole upstream. If only the
        first one did, its end would free resources that the second one still uses.
        """
        world = FleetModel()
        world.add_upstream("u0", cpu_milli=32_000)
        world.run(0.2)
        world.configure(QUEUE)
        spec = JobSpec("text", (Step(1, 12_000, 64, 0, 100),), answers_at_end=True)
        world.submit("a" * 16, spec, work_ms=800)
        world.submit("b" * 16, spec, work_ms=2000)
        world.run(0.2)
        world.change_leader(gap_s=0.2)
        world.run(0.3)
        two = spec._replace(steps=(spec.steps[0]._replace(tasks=2),))
        world.submit("c" * 16, two, work_ms=800)
        world.run(3.0)
        assert world.violations == []

    def test_a_task_does_not_start_while_a_run_of_it_is_being_stopped(self) -> None:
        """Guards against two runs at a time if the caller resubmits after ``ORPHAN_GRACE_S``."""
        world = make(upstreams=4)
        world.submit("a" * 16, answered_at_end(2), work_ms=9000)
        world.run(0.2)
        world.change_leader(gap_s=0.2)
        for _ in range(30):
            world.run(0.05)
            world.submit("a" * 16, answered_at_end(2), work_ms=9000)
        world.run(1.0)
        assert world.violations == []

    @pytest.mark.parametrize("returns_after_s", [1.0, 1.1, 1.2, 1.3, 1.5])
    def test_a_task_does_not_start_while_the_stop_of_its_orphan_is_not_confirmed(
        self, returns_after_s: float
    ) -> None:
        """Guards against two runs at a time if no answer to the stop order has arrived yet."""
        world = make(upstreams=4)
        world.submit("a" * 16, answered_at_end(2), work_ms=9000)
        world.run(0.2)
        world.change_leader(gap_s=0.2)
        world.run(0.2 + returns_after_s)
        for upstream in world.upstreams.values():
            upstream.can_reply = not upstream.runs
            upstream.is_reachable = not upstream.runs
        world.run(0.15)
        world.submit("a" * 16, answered_at_end(2), work_ms=9000)
        world.run(3.0)
        assert world.violations == []

    def test_the_end_of_an_earlier_run_does_not_keep_an_abandoned_run_going(self) -> None:
        """Guards against a run that nobody waits for and that is never stopped.

        The earlier run of its task lapsed on an upstream that lists this end only after the last
        caller has left. Found by tools/fuzz_leases.py, seed 20007.
        """
        world = make(upstreams=2)
        world.submit("a" * 16, answered_at_end(1), work_ms=9000, attempt="first")
        world.run(0.2)
        lost = next(upstream for upstream in world.upstreams.values() if upstream.runs)
        lost.is_reachable = False
        world.run(2.5)
        assert world.starts == 2
        world.send_request(Request(Operation.WITHDRAW, {"job": "a" * 16, "attempt": "first"}))
        world.run(0.1)
        lost.is_reachable = True
        world.run(3.0)
        assert not any(upstream.runs for upstream in world.upstreams.values())

    def test_a_waiting_job_that_would_end_too_late_is_refused_at_once(self) -> None:
        world = make(upstreams=1)
        replies = [
            world.submit(f"{number:016x}", answered_at_end(2), work_ms=1500) for number in range(2)
        ]
        world.run(1.0)
        assert replies[1].result(timeout=0).code is ResultCode.OVERLOADED
        assert not replies[0].done()
        assert world.starts == 2

    def test_a_job_that_its_caller_cancels_is_stopped(self) -> None:
        world = make()
        world.submit("a" * 16, answered_at_end(3), work_ms=5000)
        world.run(0.2)
        world.send_request(Request(Operation.CANCEL, {"job": "a" * 16}))
        world.run(0.3)
        assert not any(upstream.runs for upstream in world.upstreams.values())
