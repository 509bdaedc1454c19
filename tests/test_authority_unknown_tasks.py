"""Ends and runs of tasks that their job doesn't have, and commands that can't be applied."""

import json
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from structlog.testing import capture_logs

from kumquatlift.authority import (
    EndReason,
    PollAnswer,
    PollOrder,
    RunningTask,
    ServingConfig,
    TaskEnd,
    TaskKey,
)
from kumquatlift.authority._state import State
from kumquatlift.authority._work import Job
from kumquatlift.codes import ResultCode
from tests.authority_world import answered_at_end, job, make
from tools.fleet_model import FleetModel
from tools.model_upstream import ModelUpstream

JOB = "a" * 16
# A job of one step with two tasks has none of these.
UNKNOWN_TASKS = [
    TaskKey(JOB, 0, 7, 0),
    TaskKey(JOB, 0, -1, 0),
    TaskKey(JOB, 5, 0, 0),
    TaskKey(JOB, -1, 0, 0),
    TaskKey(JOB, 0, 0, 2),
    TaskKey(JOB, 0, 0, -1),
]


def list_end(upstream: ModelUpstream, task: TaskKey) -> None:
    """Make an upstream list the end of a run that it never had."""
    upstream._ends.append((next(upstream._numbers), TaskEnd(task, 1, EndReason.DONE)))


def list_running(upstream: ModelUpstream, task: TaskKey, monkeypatch: pytest.MonkeyPatch) -> None:
    """Make an upstream list a run that it doesn't have."""
    answer = upstream._poll_answer

    def poll_answer() -> PollAnswer:
        lists = answer()
        return lists._replace(running=(*lists.running, RunningTask(task, 1, "", 5)))

    monkeypatch.setattr(upstream, "_poll_answer", poll_answer)


def new_state() -> State:
    return State(read_config=lambda _source: ServingConfig(), wall_clock=lambda: 1.0)


def job_command() -> bytes:
    fields = {
        "job": JOB,
        "queue": "q",
        "spec": job(2).to_plain(),
        "at_ms": 1,
        "max_attempts": 3,
        "zone": "z",
    }
    return json.dumps(["job", fields]).encode()


def ends_command(*tasks: TaskKey) -> bytes:
    rows = [[*task, 1, "done", ""] for task in tasks]
    return json.dumps(["ends", {"at_ms": 2, "ends": rows}]).encode()


@pytest.fixture
def logs() -> Iterator[list[Any]]:
    with capture_logs() as entries:
        yield entries


def events(logs: list[Any]) -> set[str]:
    return {entry["event"] for entry in logs}


def assert_jobs_complete(world: FleetModel, logs: list[Any]) -> None:
    world.run(1.5)
    assert "event_failed" not in events(logs)
    assert world.state_of(JOB) == "completed"
    assert world.starts == 3
    assert world.violations == []
    assert not any(upstream._ends for upstream in world.upstreams.values())


class TestListedTasks:
    """Guards against a leader that fails on rows of upstreams about tasks that a job doesn't have.

    The rows were looked up in the job's steps: the error left the ends of all upstreams in the same
    command unacknowledged, and a committed end made every replica fail, again after each restart.
    """

    @pytest.mark.parametrize("task", UNKNOWN_TASKS, ids=str)
    @pytest.mark.parametrize("is_logged", [True, False])
    def test_ends_are_acknowledged_and_ignored(
        self, task: TaskKey, is_logged: bool, logs: list[Any]
    ) -> None:
        world = make()
        world.submit("b" * 16, job(1), work_ms=200)
        world.submit(JOB, job(2) if is_logged else answered_at_end(2), work_ms=200)
        world.run(0.1)
        for upstream in world.upstreams.values():
            # The others are not polled.
            if upstream.runs:
                list_end(upstream, task)
        assert_jobs_complete(world, logs)
        world.authority.restore(world.authority.snapshot())

    @pytest.mark.parametrize("task", UNKNOWN_TASKS, ids=str)
    @pytest.mark.parametrize("is_logged", [True, False])
    def test_runs_are_ignored(
        self,
        task: TaskKey,
        is_logged: bool,
        monkeypatch: pytest.MonkeyPatch,
        logs: list[Any],
    ) -> None:
        world = make()
        world.submit("b" * 16, job(1), work_ms=200)
        world.submit(JOB, job(2) if is_logged else answered_at_end(2), work_ms=200)
        world.run(0.1)
        for upstream in world.upstreams.values():
            list_running(upstream, task, monkeypatch)
        assert_jobs_complete(world, logs)

    @pytest.mark.parametrize("task", UNKNOWN_TASKS, ids=str)
    def test_rows_that_came_before_the_job_are_ignored(
        self, task: TaskKey, monkeypatch: pytest.MonkeyPatch, logs: list[Any]
    ) -> None:
        world = make()
        list_running(world.upstreams["u0"], task, monkeypatch)
        world.submit("b" * 16, job(1), work_ms=200)
        world.run(0.1)
        for upstream in world.upstreams.values():
            list_end(upstream, task)
        world.change_leader(gap_s=0.1)
        world.run(0.3)
        world.submit(JOB, answered_at_end(2), work_ms=200)
        assert_jobs_complete(world, logs)


class TestCommittedTasks:
    """Guards against an old log or snapshot that ends every replica at each start.

    A done task of an occurrence that the job doesn't have was stored before the error, and reading
    the snapshot failed when a replica started.
    """

    @pytest.mark.parametrize("task", UNKNOWN_TASKS, ids=str)
    def test_end_in_the_log_is_ignored(self, task: TaskKey) -> None:
        state = new_state()
        state.apply(1, 1, job_command())
        state.apply(2, 1, ends_command(task, TaskKey(JOB, 0, 0, 1)))
        assert state.jobs[JOB].done == {TaskKey(JOB, 0, 0, 1)}
        again = new_state()
        again.restore(state.snapshot())
        assert again.snapshot() == state.snapshot()

    @pytest.mark.parametrize("task", UNKNOWN_TASKS, ids=str)
    def test_done_task_in_a_snapshot_is_ignored(self, task: TaskKey) -> None:
        state = new_state()
        state.apply(1, 1, job_command())
        plain = state.jobs[JOB].to_plain()
        plain[3], plain[4:] = [task[1:]], [[[*task[1:], 1]], [[*task[1:], 1]], [[*task[1:], "c"]]]
        restored = Job.from_plain(plain)
        assert restored.to_plain() == state.jobs[JOB].to_plain()
        assert not restored.done_of_step

    def test_replica_starts_with_a_configuration_that_cannot_be_read(self) -> None:
        def read_config(source: str) -> ServingConfig:
            if source == "refused":
                raise ValueError("not a configuration")
            return ServingConfig(1, source=source)

        state = new_state()
        state.apply(1, 1, job_command())
        plain = {**json.loads(state.snapshot()), "config": "refused"}
        again = State(read_config=read_config)
        again.restore(json.dumps(plain).encode())
        assert again.snapshot() == state.snapshot()
        again.apply(2, 1, b'["config",{"version":1,"source":"accepted"}]')
        assert again.routing.cfg.source == "accepted"


class TestCommands:
    """Guards against a committed command that stops its proposer or differs between replicas."""

    @pytest.mark.parametrize(
        "data",
        [
            b"no JSON",
            b"[]",
            b'["other",{}]',
            b'["ends",{}]',
            b'["ends",{"at_ms":1,"ends":[["a"]]}]',
            b'["job",{"job":"x"}]',
            b'["upstream",{"upstream":[1]}]',
            b'["config",{"version":"x"}]',
        ],
    )
    def test_command_that_cannot_be_applied_is_skipped(self, data: bytes, logs: list[Any]) -> None:
        state = new_state()
        positions: list[int] = []
        state.on_applied = lambda applied: positions.append(applied.position)
        state.apply(1, 1, job_command())
        before = state.snapshot()
        state.apply(2, 1, data)
        assert state.snapshot() == before
        assert positions == [1, 2]
        assert "command_not_applied" in events(logs)

    def test_job_with_too_many_occurrences_is_skipped(self) -> None:
        kind, fields = json.loads(job_command())
        fields["spec"] = job(2)._replace(occurrences=300_000).to_plain()
        state = new_state()
        state.apply(1, 1, json.dumps([kind, fields]).encode())
        assert state.jobs == {}

    def test_caller_of_a_skipped_job_is_answered_each_time(self) -> None:
        world = make()
        for _ in range(2):
            spec = job(2)._replace(occurrences=300_000)
            reply = world.submit(JOB, spec, work_ms=10)
            world.run(0.1)
            assert reply.result(timeout=0).code is ResultCode.MALFORMED


class TestStartsInTheFuture:
    """Guards against a start in the far future that takes the place of a live upstream for good.

    The upstream's own heartbeats counted as those of an earlier incarnation.
    """

    def test_announcement_is_refused(self) -> None:
        world = make(upstreams=1)
        state = world.upstreams["u0"].state
        reply = world.announce(state._replace(started_at_ms=10**400))
        world.run(0.1)
        assert reply.result(timeout=0).code is ResultCode.MALFORMED
        assert world.authority.state.upstreams == {"u0": state}

    def test_stored_announcement_is_replaced(self) -> None:
        world = make(upstreams=1)
        state = world.upstreams["u0"].state
        odd = state._replace(started_at_ms=10**400)
        world.log.propose(json.dumps(["upstream", {"upstream": odd}]).encode())
        world.run(0.1)
        assert world.authority.state.upstreams == {"u0": odd}
        for _ in range(2):
            world.announce(state)
            world.run(0.2)
        assert world.authority.state.upstreams == {"u0": state}
        world.submit(JOB, job(1), work_ms=100)
        world.run(0.5)
        assert world.state_of(JOB) == "completed"


class TestUnreadRows:
    """Guards against an odd row in the lists of an upstream that costs it its lease or its runs."""

    def test_unread_end_is_polled_for_slowly_and_the_lease_is_kept(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        world, polls = make(upstreams=1), 0
        upstream = world.upstreams["u0"]
        poll, poll_answer = upstream.poll, upstream._poll_answer

        def poll_at_once(token: int, order: PollOrder, answer: Callable[[Any], None]) -> None:
            nonlocal polls
            polls += 1
            poll(token, order._replace(wait_ms=0), answer)

        # An upstream answers at once while it lists an end.
        monkeypatch.setattr(upstream, "poll", poll_at_once)
        monkeypatch.setattr(upstream, "_poll_answer", lambda: poll_answer()._replace(unread_ends=1))
        world.submit(JOB, job(1, estimate_ms=3000), work_ms=3000)
        world.run(3.5)
        assert world.state_of(JOB) == "completed"
        assert world.starts == 1
        assert polls < 60

    def test_end_with_a_huge_number_does_not_hide_later_ones(self) -> None:
        world = make(upstreams=1)
        upstream = world.upstreams["u0"]
        world.submit("b" * 16, job(1), work_ms=100)
        world.run(0.05)
        other = TaskEnd(TaskKey("c" * 16, 0, 0, 0), 1, EndReason.DONE)
        upstream._ends.append((2**53 - 1, other))
        world.run(0.5)
        world.submit(JOB, job(2, estimate_ms=1500), work_ms=1500)
        world.run(2.5)
        assert world.state_of("b" * 16) == "completed"
        assert world.state_of(JOB) == "completed"
        assert world.starts == 3
        # It is never acknowledged, as that would cover all later ends.
        assert [number for number, _ in upstream._ends] == [2**53 - 1]

    def test_run_without_a_number_is_not_started_again(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        world = make(upstreams=2)
        for upstream in world.upstreams.values():
            hide_run_numbers(upstream, monkeypatch)
        world.submit(JOB, job(1, estimate_ms=1500), work_ms=1500)
        world.run(2.0)
        assert world.state_of(JOB) == "completed"
        assert world.starts == 1


def hide_run_numbers(upstream: ModelUpstream, monkeypatch: pytest.MonkeyPatch) -> None:
    """Make an upstream list its runs under numbers that can't be read."""
    answer = upstream._poll_answer

    def poll_answer() -> PollAnswer:
        lists = answer()
        tasks = frozenset(row.task for row in lists.running)
        return lists._replace(running=(), tasks_without_run=tasks)

    monkeypatch.setattr(upstream, "_poll_answer", poll_answer)
