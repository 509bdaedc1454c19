"""State of a caller's request about a job until it is answered."""

from concurrent.futures import Future
from enum import Enum

from kumquatlift.jobs.authority import Verb
from kumquatlift.jobs.callers import JobReply
from kumquatlift.jobs.job import JobRequest
from kumquatlift.jobs.ledger_frame import JobResponse, RoutedRequest


class Stage(Enum):
    """Role of the process that the request is sent to; ``SEARCH`` sends it to all processes."""

    WRITER = "writer"
    BACKUP = "backup"
    SEARCH = "search"


class JobWait:
    """One request and its progress.

    Args:
        routed: The request; its location and role change with the stages.
        verb: Operation that is requested.
        expires_at: Monotonic seconds at which the wait ends without an outcome.
        waits_for_end: Whether to wait for the outcome, so that ``PENDING`` is not an answer.
        req: The job of a submission; None for other requests.
    """

    def __init__(
        self,
        routed: RoutedRequest,
        verb: Verb,
        *,
        expires_at: float,
        waits_for_end: bool,
        req: JobRequest | None,
    ) -> None:
        self.req = req
        self.routed = routed
        self.verb = verb
        self.expires_at = expires_at
        self.waits_for_end = waits_for_end
        self.fut: Future[JobReply] = Future()
        self.stage = Stage.WRITER
        self.attempt = 0
        # Number of redirections to the backup of a ledger that were followed.
        self.hops = 0
        # Process that runs the job and is polled; empty for none and for this process.
        self.polled_peer = ""
        self.next_poll_at = 0.0
        self.is_pending = False
        self.writer_lost = False
        # Whether this process replied that only the backup can know the id.
        self.is_writer_here = False
        self.backup_lost = False
        # Encoded answer to give when the backup is lost as well; empty while there is none.
        self.fallback_answer = b""

    def begin_attempt(self) -> int:
        """Invalidate replies to earlier attempts, and return the number of the new attempt."""
        self.attempt += 1
        return self.attempt

    def matches(self, reply: JobResponse) -> bool:
        """Return whether a reply is about this job and, as far as known, about this payload."""
        digests = (self.routed.digest, reply.digest)
        return self.routed.job_id == reply.job_id and (not all(digests) or digests[0] == digests[1])
