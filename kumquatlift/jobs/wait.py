"""A caller's question about a job while it is on its way."""

from concurrent.futures import Future
from enum import Enum

from kumquatlift.jobs.authority import Verb
from kumquatlift.jobs.callers import JobReply
from kumquatlift.jobs.job import JobRequest
from kumquatlift.jobs.ledger_frame import JobAsk, JobResponse


class Stage(Enum):
    """Who is being asked."""

    WRITER = "writer"
    BACKUP = "backup"
    SEARCH = "search"


class JobWait:
    """One question and how far it has come.

    Args:
        ask: The question; its place and role follow the stages.
        verb: What is asked.
        expires_at: Monotonic seconds at which the caller gets what is known.
        waits_for_end: Whether ``PENDING`` is not yet an answer.
        req: The request of a submission.
    """

    def __init__(
        self,
        ask: JobAsk,
        verb: Verb,
        *,
        expires_at: float,
        waits_for_end: bool,
        req: JobRequest | None,
    ) -> None:
        self.req = req
        self.ask = ask
        self.verb = verb
        self.expires_at = expires_at
        self.waits_for_end = waits_for_end
        self.fut: Future[JobReply] = Future()
        self.stage = Stage.WRITER
        self.attempt = 0
        self.hops = 0
        self.polled_peer = ""
        self.next_poll_at = 0.0
        self.is_pending = False
        self.writer_lost = False
        self.is_writer_here = False
        self.backup_lost = False
        self.fallback_answer = b""

    def begin_attempt(self) -> int:
        """Make replies to earlier attempts void and return the number of the new one."""
        self.attempt += 1
        return self.attempt

    def matches(self, reply: JobResponse) -> bool:
        """Tell whether a reply is about this job with this payload."""
        digests = (self.ask.digest, reply.digest)
        return self.ask.job_id == reply.job_id and (not all(digests) or digests[0] == digests[1])
