"""Jobs by identity for the callers' application, wherever they run."""

from collections.abc import Callable
from concurrent.futures import Future

from kumquatlift.callers import JobReply
from kumquatlift.clock import Clock
from kumquatlift.dispatcher import find_kind
from kumquatlift.document import Document
from kumquatlift.failure import Failure
from kumquatlift.job import JobRequest
from kumquatlift.job_router import JobRouter
from kumquatlift.job_wait import RoutedAnswer

# Deadline of a job whose kind is not configured here; it is refused before the deadline matters.
UNKNOWN_KIND_DEADLINE_MS = 30_000


class RoutedJobs:
    """The ``JobService`` of an entry process.

    Args:
        router: Finds the process that answers for a job.
        document: Returns the configuration in force.
        clock: Source of time.
    """

    def __init__(
        self, *, router: JobRouter, document: Callable[[], Document], clock: Clock
    ) -> None:
        self._router = router
        self._document = document
        self._clock = clock

    def ticket(self) -> str | Failure:
        """Return the ledger in which a caller may choose keys."""
        ledger = self._router.ticket()
        return ledger if isinstance(ledger, Failure) else str(ledger)

    def submit(self, job_id: str, req: JobRequest, *, wait: bool) -> Future[JobReply]:
        """Submit a job, or join it when it is known."""
        deadline_at = self._clock.now() + self._deadline_ms(req) / 1000
        return _adapted(
            self._router.submit(job_id or None, req, deadline_at=deadline_at, wait=wait)
        )

    def get(self, job_id: str, *, wait_s: float) -> Future[JobReply]:
        """Return the state of a job after its end or after ``wait_s`` seconds."""
        return _adapted(self._router.get(job_id, wait_s))

    def cancel(self, job_id: str) -> Future[JobReply]:
        """Cancel a job."""
        return _adapted(self._router.cancel(job_id))

    def _deadline_ms(self, req: JobRequest) -> int:
        kind = find_kind(self._document(), req)
        longest_ms = UNKNOWN_KIND_DEADLINE_MS if isinstance(kind, Failure) else kind.deadline_ms
        return min(req.deadline_ms or longest_ms, longest_ms)


def _adapted(source: Future[RoutedAnswer]) -> Future[JobReply]:
    fut: Future[JobReply] = Future()
    source.add_done_callback(lambda done: fut.set_result(JobReply(*done.result())))
    return fut
