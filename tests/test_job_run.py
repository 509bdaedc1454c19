"""State machine of one job."""

from kumquatlift.codes import ResultCode
from kumquatlift.configuration.document import Kind
from kumquatlift.failure import Failure
from kumquatlift.jobs.job import JobRequest, Task
from kumquatlift.jobs.run import Attempt, JobRun
from kumquatlift.upstreams.runner_client import AttemptEnd, AttemptResult


def make(tasks: int = 3, **kind: object) -> JobRun:
    """Return a job with the deadline at 100 s."""
    req = JobRequest("s", "k", "", 0, tuple(Task(f"t{n}", n) for n in range(tasks)))
    cfg = Kind(**kind)  # type: ignore[arg-type]
    return JobRun(job_id="j", req=req, kind=cfg, deadline_at=100.0)


def begin(run: JobRun, now: float = 0.0) -> Attempt:
    """Start the next batch."""
    attempt = run.start(now)
    assert attempt is not None
    return attempt


def ok(attempt: Attempt) -> AttemptResult:
    """Return a complete result for an attempt."""
    results = {task.id: task.body for task in attempt.batch.tasks}
    return AttemptResult(AttemptEnd.OK, None, results, 0.1, True)


def ended(end: AttemptEnd) -> AttemptResult:
    """Return a result other than OK."""
    return AttemptResult(end, Failure(ResultCode.ATTEMPT_UNKNOWN, "test"), {}, 0.1, True)


class TestJobRun:
    """Guards against partial answers, double starts and a wrong "not run"."""

    def test_answer_is_complete_and_in_order_when_batches_end_out_of_order(self) -> None:
        run = make(tasks=5, tasks_per_request=2)
        attempts = [begin(run) for _ in range(3)]
        for attempt in reversed(attempts):
            assert run.answer is None
            run.end(attempt, ok(attempt), 1.0)
        assert run.answer is not None
        assert [row.id for row in run.answer.results] == ["t0", "t1", "t2", "t3", "t4"]

    def test_unknown_attempt_of_a_kind_that_is_not_repeatable_fails_the_job(self) -> None:
        run = make()
        attempt = begin(run)
        assert run.end(attempt, ended(AttemptEnd.UNKNOWN), 1.0) is None
        assert run.answer is not None
        assert run.answer.results == ()
        assert run.start(1.0) is None

    def test_unknown_attempt_is_repeated_only_after_its_lease(self) -> None:
        run = make(repeatable=True, lease_ms=5000)
        attempt = begin(run, now=1.0)
        retry = run.end(attempt, ended(AttemptEnd.UNKNOWN), 1.2)
        assert retry is not None
        assert retry.not_before >= 1.0 + 5.0

    def test_refused_attempt_is_repeated_for_every_kind_up_to_the_limit(self) -> None:
        run = make(tasks=1, max_attempts=2)
        attempt = begin(run)
        retry = run.end(attempt, ended(AttemptEnd.NOT_RUN), 0.1)
        assert retry is not None
        assert run.requeue(retry.batch)
        assert run.end(begin(run, 0.2), ended(AttemptEnd.NOT_RUN), 0.3) is None
        assert run.answer is not None

    def test_unsent_requests_do_not_use_up_the_attempts(self) -> None:
        run = make(tasks=1, max_attempts=2)
        unsent = ended(AttemptEnd.NOT_RUN)._replace(sent=False)
        now = 0.0
        for _ in range(10):
            retry = run.end(begin(run, now), unsent, now)
            assert retry is not None
            assert retry.not_before > now
            now = retry.not_before
            run.requeue(retry.batch)
        attempt = begin(run, now)
        run.end(attempt, ok(attempt), now)
        assert run.answer is not None
        assert run.answer.is_complete

    def test_refused_attempt_is_not_repeated_with_an_empty_budget(self) -> None:
        req = JobRequest("s", "k", "", 0, (Task("t", 1),))
        run = JobRun(job_id="j", req=req, kind=Kind(), deadline_at=100.0, take_retry=lambda: False)
        assert run.end(begin(run), ended(AttemptEnd.NOT_RUN), 0.1) is None
        assert run.answer is not None
        assert run.answer.code is ResultCode.RETRY_BUDGET_EMPTY

    def test_cancel_says_not_run_only_when_nothing_ran(self) -> None:
        untouched, refused, in_flight = make(), make(), make()
        refused.end(begin(refused), ended(AttemptEnd.NOT_RUN), 0.1)
        begin(in_flight)
        for run, code in (
            (untouched, ResultCode.CANCELLED_BEFORE_START),
            (refused, ResultCode.CANCELLED_BEFORE_START),
            (in_flight, ResultCode.CANCELLED_AFTER_START),
        ):
            answer = run.cancel()
            assert answer is not None
            assert answer.code is code

    def test_refusal_after_a_partial_run_never_says_not_run(self) -> None:
        run = make()
        attempt = begin(run)
        run.end(attempt, ok(attempt), 0.1)
        answer = run.fail(Failure(ResultCode.OVERLOADED, "full"))
        assert answer is not None
        assert answer.code.ran.value == "maybe"

    def test_nothing_starts_after_the_answer_or_the_deadline(self) -> None:
        cancelled, late = make(), make()
        cancelled.cancel()
        assert cancelled.start(0.0) is None
        assert late.start(100.0) is None
