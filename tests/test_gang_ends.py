"""Tests of the ends of a gang's members, which arrive from different upstreams in any order."""

import itertools
import json

import pytest

from kumquatlift.authority import EndReason, JobSpec, Step, TaskEnd, TaskKey
from kumquatlift.authority._work import Job, JobState

JOB = "a" * 16
ATTEMPTS = 2
FAILED, BROKEN, DONE = EndReason.FAILED, EndReason.BROKEN, EndReason.DONE


def make_job(tasks: int = 3) -> Job:
    step = Step(tasks, 6800, 64, 0, 100)._replace(is_gang=True)
    return Job(
        job_id=JOB,
        queue="q",
        spec=JobSpec("text", (step,)),
        term=1,
        accepted_at_ms=0,
        max_attempts=ATTEMPTS,
        zone="z",
    )


def end(member: int, run: int, reason: EndReason, checkpoint: str = "") -> TaskEnd:
    return TaskEnd(TaskKey(JOB, 0, 0, member), run, reason, checkpoint)


class TestOrderOfEnds:
    """Guards against a gang that never runs again because of the order in which its ends arrive.

    The end of one member settled the run of all, so a failure behind it was ignored, and the leader
    waited for its commit for ever.
    """

    @pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
    def test_each_end_of_a_run_changes_the_job_and_the_attempt_counts_once(
        self, order: tuple[int, ...]
    ) -> None:
        job = make_job()
        ends = [end(0, 1, FAILED), end(1, 1, BROKEN), end(2, 1, BROKEN)]
        assert all(job.end_task(ends[number], 1) for number in order)
        assert job.failures == {TaskKey(JOB, 0, 0, 0): 1}
        assert job.is_open

    def test_several_failures_in_one_run_are_one_attempt(self) -> None:
        job = make_job()
        assert job.end_task(end(0, 1, FAILED), 1)
        assert job.end_task(end(1, 1, FAILED), 1)
        assert job.is_open
        assert job.end_task(end(2, 2, FAILED), 1)
        assert job.state == JobState.FAILED

    def test_a_failure_that_is_listed_after_the_next_run_counts(self) -> None:
        """Guards against more runs than the queue allows."""
        job = make_job()
        assert job.end_task(end(1, 1, BROKEN), 1)
        assert job.end_task(end(1, 2, FAILED), 1)
        assert job.end_task(end(0, 1, FAILED), 1)
        assert job.state == JobState.FAILED

    def test_repeated_ends_are_ignored(self) -> None:
        job = make_job()
        assert job.end_task(end(0, 1, FAILED), 1)
        assert not job.end_task(end(0, 1, FAILED), 1)
        assert job.failures == {TaskKey(JOB, 0, 0, 0): 1}

    def test_one_member_that_is_done_completes_the_gang(self) -> None:
        job = make_job()
        assert job.end_task(end(1, 1, BROKEN), 1)
        assert job.end_task(end(2, 2, DONE), 1)
        assert job.state == JobState.COMPLETED
        assert set(job.ended_run) == set(job.tasks_of(0, 0))

    def test_an_older_checkpoint_does_not_replace_a_newer_one(self) -> None:
        job = make_job()
        assert job.end_task(end(0, 2, BROKEN, "newer"), 1)
        assert job.end_task(end(1, 1, BROKEN, "older"), 1)
        assert set(job.checkpoint.values()) == {"newer"}
        assert len(job.checkpoint) == 3


class TestSnapshots:
    """Counted attempts survive a snapshot, in both directions between this build and the former."""

    def test_a_failure_that_was_counted_is_not_counted_again(self) -> None:
        job = make_job()
        job.end_task(end(0, 1, FAILED), 1)
        restored = Job.from_plain(json.loads(json.dumps(job.to_plain())))
        assert restored.end_task(end(1, 1, FAILED), 1)
        assert restored.is_open
        assert restored.to_plain()[7] == job.to_plain()[7]

    def test_the_former_form_is_read_and_written_where_no_gang_has_failed(self) -> None:
        plain = make_job().to_plain()
        assert len(plain) == 7
        assert Job.from_plain(plain).failed_gang_runs == {}
