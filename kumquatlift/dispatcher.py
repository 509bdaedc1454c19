"""Runs jobs: splits them into requests, places them on runners and collects the answer."""

from concurrent.futures import Future
from typing import Protocol

from kumquatlift.failure import Failure
from kumquatlift.job import JobAnswer, JobRequest


class JobExecutor(Protocol):
    """Runs jobs whose claim is settled."""

    def admit(self, req: JobRequest) -> Failure | None:
        """Check a job against configuration, quotas and queues before it is claimed.

        Returns:
            None when the job may be claimed, else a failure whose work did not run.
        """

    def run(self, job_id: str, req: JobRequest, *, deadline_at: float) -> Future[JobAnswer]:
        """Run a claimed job.

        Args:
            job_id: Text form of the job's identity.
            req: The job.
            deadline_at: Monotonic seconds of this process at which the job fails.

        Returns:
            A future of the one answer; it never raises.
        """

    def cancel(self, job_id: str) -> None:
        """Cancel a job; its future gets a cancelled answer."""
