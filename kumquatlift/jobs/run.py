"""State of one running job: its waiting, running and finished requests, and its answer."""

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from kumquatlift.codes import ResultCode
from kumquatlift.configuration.document import Kind
from kumquatlift.failure import Failure
from kumquatlift.jobs.job import JobAnswer, JobRequest, Task, TaskResult
from kumquatlift.upstreams.runner_client import (
    DELIVERY_MARGIN_S,
    AttemptEnd,
    AttemptResult,
    RunRequest,
)

UNSENT_BACKOFF_S = 0.05
"""Delay, for each unsent request of a batch so far, before the batch is started again."""


class TaskBatch(NamedTuple):
    """Consecutive tasks that are sent to a runner in one request."""

    number: int
    tasks: tuple[Task, ...]


class Attempt(NamedTuple):
    """One attempt to run a batch."""

    batch: TaskBatch
    number: int
    started_at: float
    req: RunRequest


class Retry(NamedTuple):
    """A batch that may be started again at ``not_before``, in monotonic seconds."""

    batch: TaskBatch
    not_before: float


def split_into_batches(req: JobRequest, kind: Kind) -> list[TaskBatch]:
    """Divide a job's tasks into batches of the size that the request kind configures."""
    size = kind.tasks_per_request
    return [
        TaskBatch(index, req.tasks[start : start + size])
        for index, start in enumerate(range(0, len(req.tasks), size))
    ]


class JobRun:
    """State machine of one job; the caller holds a lock around every method.

    Args:
        job_id: Text form of the job's identity.
        req: The job.
        kind: Configuration of the request kind at the time when the job was admitted.
        deadline_at: Monotonic seconds at which the job fails.
        take_retry: Takes a token for one retry from the service's budget; False if it has none.
    """

    def __init__(
        self,
        *,
        job_id: str,
        req: JobRequest,
        kind: Kind,
        deadline_at: float,
        take_retry: Callable[[], bool] = lambda: True,
    ) -> None:
        self.job_id = job_id
        self.req = req
        self.kind = kind
        self.deadline_at = deadline_at
        self.answer: JobAnswer | None = None
        self._take_retry = take_retry
        self._batches = split_into_batches(req, kind)
        self._waiting = deque(self._batches)
        self._attempts = [0] * len(self._batches)
        self._unsent = [0] * len(self._batches)
        self._results: dict[int, dict[str, Any]] = {}
        self._running: set[str] = set()
        self._has_run = False

    @property
    def batch_count(self) -> int:
        """Number of requests that the job is split into."""
        return len(self._batches)

    @property
    def may_have_run(self) -> bool:
        """Whether any task may have run; refused attempts do not count."""
        return self._has_run or bool(self._running)

    @property
    def is_idle(self) -> bool:
        """Whether no attempt is in flight."""
        return not self._running

    @property
    def open_count(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def start(self, now: float) -> Attempt | None:
        """Take the next waiting batch for a slot.

        Returns:
            The attempt to send, or None when no batch waits, the job has its answer or its deadline
            has passed.
        """
        remaining_ms = int((self.deadline_at - now) * 1000)
        if self.answer is not None or not self._waiting or remaining_ms <= 0:
            return None
        batch = self._waiting.popleft()
        self._attempts[batch.number] += 1
        number = self._attempts[batch.number]
        run_req = RunRequest(
            job=self.job_id,
            attempt=f"{self.job_id}/{batch.number}/{number}",
            kind=self.req.kind,
            lease_ms=min(self.kind.lease_ms, remaining_ms),
            tasks=batch.tasks,
        )
        self._running.add(run_req.attempt)
        return Attempt(batch, number, now, run_req)

    def end(self, attempt: Attempt, result: AttemptResult, now: float) -> Retry | None:
        """Record how an attempt ended; this may settle the answer.

        Returns:
            The batch to start again, or None.
        """
        self._running.discard(attempt.req.attempt)
        self._has_run = self._has_run or result.end is not AttemptEnd.NOT_RUN
        if self.answer is not None:
            return None
        if result.end is AttemptEnd.OK:
            self._results[attempt.batch.number] = result.results
            if len(self._results) == len(self._batches):
                self.answer = self._complete()
            return None
        self._unsent[attempt.batch.number] += not result.sent
        not_before = self._retry_time(attempt, result, now)
        if not_before is None:
            assert result.failure is not None
            self.fail(result.failure)
            return None
        # An unsent request costs the runners nothing, so it uses no token of the retry budget.
        if result.sent and not self._take_retry():
            self.fail(self._failure_without_retry(result))
            return None
        return Retry(attempt.batch, not_before)

    def requeue(self, batch: TaskBatch) -> bool:
        """Put a batch back to be started again; False when the job has its answer."""
        if self.answer is not None:
            return False
        self._waiting.append(batch)
        return True

    def fail(self, failure: Failure) -> JobAnswer | None:
        """Fail the job; a code that says "not run" is replaced if a task may have run.

        Returns:
            The answer, or None when the job has one already.
        """
        if self.answer is not None:
            return None
        if self.may_have_run and failure.code in _CODES_AFTER_START:
            failure = failure._replace(code=_CODES_AFTER_START[failure.code])
        elif self.may_have_run and failure.ran.value == "no":
            failure = failure._replace(code=ResultCode.PARTLY_RUN)
        self.answer = JobAnswer.from_failure(failure)
        return self.answer

    def expire(self) -> JobAnswer | None:
        """Fail the job because its deadline has passed."""
        return self.fail(
            Failure(ResultCode.DEADLINE_UNREACHABLE, "the deadline passed while waiting for a slot")
        )

    def cancel(self) -> JobAnswer | None:
        """Cancel the job."""
        return self.fail(Failure(ResultCode.CANCELLED_BEFORE_START, "cancelled by the caller"))

    def _failure_without_retry(self, result: AttemptResult) -> Failure:
        assert result.failure is not None
        if result.end is not AttemptEnd.NOT_RUN:
            return result.failure
        reason = f"no retry left in the budget of {self.req.service}: {result.failure.reason}"
        return Failure(ResultCode.RETRY_BUDGET_EMPTY, reason, result.failure.retry_after_ms)

    def _retry_time(self, attempt: Attempt, result: AttemptResult, now: float) -> float | None:
        """Return when the batch may start again, or None when it may not."""
        unsent = self._unsent[attempt.batch.number]
        if attempt.number - unsent >= self.kind.max_attempts:
            return None
        if not result.sent:
            # Slots of a dead runner are granted until their owner removes the runner, so unsent
            # requests are retried until the deadline and do not count as attempts.
            not_before = now + UNSENT_BACKOFF_S * unsent
        elif result.end is AttemptEnd.NOT_RUN:
            retry_after_ms = result.failure.retry_after_ms if result.failure else 0
            not_before = now + retry_after_ms / 1000
        elif not self.kind.repeatable:
            return None
        elif result.end is AttemptEnd.FAILED:
            not_before = now
        else:
            # The attempt may still run until its lease has ended; two attempts must never overlap.
            lease_end = attempt.started_at + attempt.req.lease_ms / 1000 + DELIVERY_MARGIN_S
            not_before = max(now, lease_end)
        return not_before if not_before < self.deadline_at else None

    def _complete(self) -> JobAnswer:
        rows = [
            TaskResult(task.id, self._results[batch.number][task.id], self._attempts[batch.number])
            for batch in self._batches
            for task in batch.tasks
        ]
        return JobAnswer(ResultCode.COMPLETE, results=tuple(rows))


_CODES_AFTER_START = {
    ResultCode.DEADLINE_UNREACHABLE: ResultCode.DEADLINE_PASSED,
    ResultCode.CANCELLED_BEFORE_START: ResultCode.CANCELLED_AFTER_START,
}
