"""Jobs of a process that has no peers: identities and answers in its own memory."""

import threading
from concurrent.futures import Future

from kumquatlift.callers import JobReply
from kumquatlift.clock import Clock
from kumquatlift.codes import ResultCode
from kumquatlift.dispatcher import JobExecutor
from kumquatlift.failure import Failure
from kumquatlift.identity import JobId, LedgerId
from kumquatlift.job import JobAnswer, JobRequest

DEFAULT_DEADLINE_MS = 30_000


class LocalJobs:
    """A ``JobService`` whose jobs all run here.

    Args:
        ledger: The one ledger of this process.
        executor: Runs the jobs.
        clock: Source of time.
    """

    def __init__(self, *, ledger: LedgerId, executor: JobExecutor, clock: Clock) -> None:
        self._ledger = ledger
        self._executor = executor
        self._clock = clock
        self._lock = threading.Lock()
        self._jobs: dict[str, tuple[bytes, Future[JobAnswer]]] = {}

    def ticket(self) -> str | Failure:
        """Return the ledger of this process."""
        return str(self._ledger)

    def submit(self, job_id: str, req: JobRequest, *, wait: bool) -> Future[JobReply]:
        """Run a job once."""
        job_id = job_id or str(JobId.generate(self._ledger))
        with self._lock:
            known = self._jobs.get(job_id)
            if known is None:
                refusal = self._executor.admit(req)
                if refusal is not None:
                    return _now(job_id, JobAnswer.from_failure(refusal))
                deadline_ms = req.deadline_ms or DEFAULT_DEADLINE_MS
                deadline_at = self._clock.now() + deadline_ms / 1000
                fut = self._executor.run(job_id, req, deadline_at=deadline_at)
                known = self._jobs[job_id] = (req.digest, fut)
        if known[0] != req.digest:
            failure = Failure(ResultCode.ID_REUSED, "the id belongs to a job with another payload")
            return _now(job_id, JobAnswer.from_failure(failure))
        return _later(job_id, known[1]) if wait else self.get(job_id, wait_s=0)

    def get(self, job_id: str, *, wait_s: float) -> Future[JobReply]:
        """Return the answer of a job if it has one."""
        with self._lock:
            known = self._jobs.get(job_id)
        if known is None:
            return _now(job_id, JobAnswer(ResultCode.NOT_FOUND, "no such job"))
        if known[1].done():
            return _now(job_id, known[1].result())
        return _now(job_id, JobAnswer(ResultCode.PENDING, "the job is running"))

    def cancel(self, job_id: str) -> Future[JobReply]:
        """Cancel a job."""
        self._executor.cancel(job_id)
        return self.get(job_id, wait_s=0)


def _now(job_id: str, answer: JobAnswer) -> Future[JobReply]:
    fut: Future[JobReply] = Future()
    fut.set_result(JobReply(job_id, answer))
    return fut


def _later(job_id: str, answer: Future[JobAnswer]) -> Future[JobReply]:
    fut: Future[JobReply] = Future()
    answer.add_done_callback(lambda done: fut.set_result(JobReply(job_id, done.result())))
    return fut
