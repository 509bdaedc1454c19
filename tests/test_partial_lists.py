"""Upstreams that hold more unacknowledged ends than they list in one answer."""

import itertools
import math
from collections.abc import Callable
from typing import Any

import pytest

from kumquatlift.authority import (
    EndReason,
    Operation,
    PollAnswer,
    PollOrder,
    Request,
    TaskEnd,
    TaskKey,
    UpstreamRef,
)
from kumquatlift.authority._poller import SentPoll
from tests.authority_world import answered_at_end, job, make
from tools import fleet_model
from tools.fleet_model import FleetModel

JOB = "a" * 16
OTHER_JOB = "b" * 16
TASKS = 40
LISTED_ENDS = 5


def make_with_short_lists(upstreams: int = 1) -> FleetModel:
    """Return a fleet whose upstreams list a few ends at a time."""
    world = make(upstreams=upstreams)
    for upstream in world.upstreams.values():
        upstream.max_listed_ends = LISTED_ENDS
    return world


def submit(world: FleetModel, *, work_ms: float = 300) -> None:
    """Submit a job in the log that has far more tasks than an upstream lists ends."""
    world.submit(JOB, job(TASKS, cpu_milli=100, estimate_ms=300), work_ms=work_ms)


class TestChangeOfLeader:
    """A new leader learns of the ends from several lists, each cut at the limit."""

    @pytest.mark.parametrize("seed", range(4))
    def test_tasks_whose_end_is_not_listed_yet_do_not_run_again(self, seed: int) -> None:
        """Guards against a second run of tasks that are done, after a change of the leader.

        The first list of an upstream was taken for all of its runs and ends.
        """
        world = make_with_short_lists(1 + seed)
        submit(world)
        world.run(0.2)
        world.change_leader(gap_s=0.3 + 0.1 * seed)
        world.run(5.0)
        assert world.violations == []
        assert world.starts == TASKS
        assert world.state_of(JOB) == "completed"

    def test_recovery_outlasts_the_earlier_leases_while_ends_are_not_listed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a second run of tasks that are done, while the log is slow.

        Ends are acknowledged once they are committed, and the upstream lists no further ones before
        that. Its lease is renewed meanwhile, since other tasks still run there.
        """
        world = make_with_short_lists(2)
        world.submit(OTHER_JOB, job(2, cpu_milli=100, estimate_ms=9000), work_ms=9000)
        submit(world)
        world.run(0.2)
        world.change_leader(gap_s=0.3)
        monkeypatch.setattr(fleet_model, "COMMIT_S", 2.5)
        world.run(3.0)
        monkeypatch.undo()
        world.run(8.0)
        assert world.violations == []
        assert world.starts == TASKS + 2
        assert world.state_of(JOB) == "completed"

    def test_an_upstream_that_is_lost_between_two_lists_does_not_block_the_jobs(self) -> None:
        """Guards against a recovery without end; the ends that were not listed are lost."""
        world = make_with_short_lists(2)
        submit(world)
        world.run(0.2)
        world.change_leader(gap_s=0.3)
        world.run(0.315)
        leader = world.authority._leader
        assert leader is not None
        listing = [name for name, each in leader.fleet.items() if each.has_unlisted_ends]
        assert listing
        for name in listing:
            world.upstreams[name].is_reachable = False
        world.run(2.5)
        assert world.violations == []
        assert world.state_of(JOB) == "completed"

    def test_an_upstream_that_never_lists_all_its_ends_does_not_block_the_jobs(self) -> None:
        """Guards against a recovery without end because of one upstream."""
        world = make(upstreams=2)
        world.submit(OTHER_JOB, job(3, cpu_milli=6800, estimate_ms=60_000), work_ms=60_000)
        world.run(0.2)
        endless = next(each for each in world.upstreams.values() if len(each.runs) == 1)
        answer_whole = endless._poll_answer
        numbers = itertools.count(1)
        unknown = TaskKey("c" * 16, 0, 0, 0)

        def answer_cut() -> PollAnswer:
            ends = ((next(numbers), TaskEnd(unknown, 1, EndReason.STOPPED)),)
            return answer_whole()._replace(ends=ends, may_have_more_ends=True)

        endless._poll_answer = answer_cut  # type: ignore[method-assign]
        world.change_leader(gap_s=0.3)
        world.run(9.0)
        leader = world.authority._leader
        assert leader is not None
        assert leader.runs.recovered_at == math.inf
        world.run(4.0)
        assert leader.runs.recovered_at < math.inf
        assert not endless.runs
        assert world.violations == []

    def test_a_job_that_only_its_leader_knew_is_not_run_again(self) -> None:
        """Guards against a second run of tasks of a job that its caller submits again."""
        world = make_with_short_lists()
        spec = answered_at_end(TASKS)._replace(
            steps=job(TASKS, cpu_milli=100, estimate_ms=300).steps
        )
        world.submit(JOB, spec, work_ms=300)
        world.submit(OTHER_JOB, job(1, cpu_milli=100, estimate_ms=300), work_ms=300)
        world.run(0.2)
        world.change_leader(gap_s=0.3)
        world.run(0.31)
        again = world.submit(JOB, spec, work_ms=300)
        world.run(3.0)
        assert again.result(timeout=0).fields == {"state": "completed"}
        assert world.violations == []
        assert world.starts == TASKS + 1


class TestOvertakenLists:
    """Answers of an upstream may arrive in another order than it has sent them."""

    def test_an_older_complete_list_does_not_complete_a_newer_one(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a second run of tasks that ended between two answers.

        The older list names them as running, but only the newer one counts for runs.
        """
        world = make_with_short_lists()
        submit(world, work_ms=100)
        world.run(0.08)
        world.change_leader(gap_s=0.001)
        answers: list[tuple[Callable[[PollAnswer], None], PollAnswer]] = []

        def hold_back(
            ref: UpstreamRef, order: PollOrder, done: Callable[[PollAnswer], None]
        ) -> None:
            world.upstreams[ref.upstream_id].poll(
                ref.token, order, lambda answer: answers.append((done, answer))
            )

        with monkeypatch.context() as patch:
            patch.setattr(world, "poll", hold_back)
            world.run(0.1)
        lists = [answer for _, answer in answers]
        assert (lists[0].may_have_more_ends, lists[-1].may_have_more_ends) == (False, True)
        for done, answer in reversed(answers):
            done(answer)
        world.run(3.0)
        assert world.violations == []
        assert world.starts == TASKS
        assert world.state_of(JOB) == "completed"

    def test_an_older_list_does_not_make_an_upstream_known(self) -> None:
        """Guards against an upstream that counts as verified although only an old answer came."""
        world = make(upstreams=1)
        world.run(1.0)
        leader = world.authority._leader
        assert leader is not None
        upstream = leader.fleet["u0"]
        older = world.upstreams["u0"]._poll_answer()
        submit(world, work_ms=50)
        world.run(0.5)
        upstream.is_known = False
        sent = SentPoll(world.clock.now(), 0.0, 0, upstream.poll_round)
        leader._poller._on_poll(upstream, sent, older)
        assert not upstream.is_known


class TestListsOfOneLeader:
    """A leader compares its records of runs with lists of an upstream that are cut."""

    def test_runs_whose_end_is_not_listed_yet_are_not_queued_again(self) -> None:
        """Guards against a second run of tasks that are done, without a change of the leader.

        A run that is neither among the running ones nor among the listed ends was taken for one
        that the upstream does not have.
        """
        world = make_with_short_lists()
        submit(world)
        world.run(5.0)
        assert world.violations == []
        assert world.starts == TASKS
        assert world.state_of(JOB) == "completed"

    def test_an_upstream_is_not_polled_without_pause_until_its_ends_are_committed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a poll for each round trip while the log is slow."""
        world = make_with_short_lists()
        submit(world)
        world.run(0.2)
        world.change_leader(gap_s=0.3)
        monkeypatch.setattr(fleet_model, "COMMIT_S", 0.5)
        polls = []
        poll = world.poll
        monkeypatch.setattr(world, "poll", lambda *args: (polls.append(args), poll(*args)))
        world.run(0.9)
        assert len(polls) < 10

    @pytest.mark.parametrize("commit_s", [0.015, 2.5])
    def test_ends_of_an_incarnation_that_got_orders_for_its_predecessor_are_waited_for(
        self, monkeypatch: pytest.MonkeyPatch, commit_s: float
    ) -> None:
        """Guards against a second run of tasks that an upstream ran after its restart.

        Tasks that the first list of the new incarnation did not name were queued again.
        """
        world = make_with_short_lists(2)
        orders: list[tuple[Any, ...]] = []
        monkeypatch.setattr(world, "start", lambda *order: orders.append(order))
        monkeypatch.setattr(world, "poll", lambda *_poll: None)
        submit(world, work_ms=30)
        world.run(0.03)
        for name in {order[0].upstream_id for order in orders}:
            world.kill_upstream(name)
            world.add_upstream(name).max_listed_ends = LISTED_ENDS
        world.run(0.02)
        monkeypatch.undo()
        for order in orders:
            world.start(*order)
        with monkeypatch.context() as patch:
            patch.setattr(fleet_model, "COMMIT_S", commit_s)
            world.run(3.0)
        world.run(3.0)
        assert world.starts == TASKS
        assert world.violations == []
        assert world.state_of(JOB) == "completed"


class TestDepartures:
    """An upstream may report its departure before a new leader has read all its ends."""

    @pytest.mark.parametrize("commit_s", [0.015, 0.2])
    def test_an_upstream_that_leaves_lists_its_remaining_ends_first(
        self, monkeypatch: pytest.MonkeyPatch, commit_s: float
    ) -> None:
        """Guards against a second run of tasks that are done on an upstream that leaves.

        A new leader has none of their runs in its records, so it removed the upstream at once and
        counted its ends as lost.
        """
        world = make_with_short_lists(2)
        submit(world)
        world.run(0.2)
        world.change_leader(gap_s=0.3)
        world.run(0.31)
        for name in ("u0", "u1"):
            world.send_request(Request(Operation.LEAVE, {"upstream": name}))
        with monkeypatch.context() as patch:
            patch.setattr(fleet_model, "COMMIT_S", commit_s)
            world.add_upstream("u2")
            world.run(2.0)
        world.run(3.0)
        assert world.violations == []
        assert world.starts == TASKS
        assert world.state_of(JOB) == "completed"

    def test_runs_on_an_upstream_that_leaves_unheard_end_before_their_tasks_start_again(
        self,
    ) -> None:
        """Guards against two runs of a task at a time, after a change of the leader.

        The upstream leaves before it has answered the new leader, while its tasks still run.
        """
        world = make(upstreams=1)
        world.submit(JOB, job(2, cpu_milli=100, estimate_ms=300), work_ms=600)
        world.run(0.2)
        world.upstreams["u0"].can_reply = False
        world.change_leader(gap_s=0.1)
        world.run(0.15)
        world.add_upstream("u1")
        world.send_request(Request(Operation.LEAVE, {"upstream": "u0"}))
        world.run(5.0)
        assert world.violations == []
        assert world.state_of(JOB) == "completed"

    def test_an_upstream_that_has_left_is_removed(self) -> None:
        """Guards against a departed upstream that stays in the fleet because it was never heard."""
        world = make(upstreams=2)
        world.upstreams["u0"].is_reachable = False
        world.change_leader(gap_s=0.1)
        world.run(0.15)
        world.send_request(Request(Operation.LEAVE, {"upstream": "u0"}))
        world.run(2.0)
        leader = world.authority._leader
        assert leader is not None
        assert list(leader.fleet) == ["u1"]
