"""Finds a process that knows a job when the processes named in its id do not answer."""

import threading
from concurrent.futures import Future

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.jobs.authority import JobAuthority
from kumquatlift.jobs.job import JobAnswer
from kumquatlift.jobs.ledger_frame import JobResponse, ReplyKind
from kumquatlift.membership.members import Members
from kumquatlift.transport.channel import Channel, Topic

SEARCH_TIMEOUT_S = 1.0


class JobSearch:
    """Queries every live entry process for a replica of a claim or for an adopted job.

    Args:
        channel: Channel to the other entry processes.
        members: Membership view.
        authority: Answers from the ledgers and replicas of this process.
    """

    def __init__(self, *, channel: Channel, members: Members, authority: JobAuthority) -> None:
        self._channel = channel
        self._members = members
        self._authority = authority
        channel.handle(Topic.LEDGER_RESOLVE, self._on_resolve)

    def find(self, job_id: str) -> Future[JobResponse | None]:
        """Return a future of the most conclusive answer, or of None when no process has one."""
        best: Future[JobResponse | None] = Future()
        me, lock = self._members.me.name, threading.Lock()
        peers = [member.name for member in self._members.live() if member.name != me]
        replies: list[JobResponse | Failure] = [self._authority.resolve(job_id)]

        def collect(reply: JobResponse | Failure) -> None:
            with lock:
                replies.append(reply)
                is_last = len(replies) == len(peers) + 1
            if is_last:
                best.set_result(_best(job_id, replies))

        for peer in peers:
            fut = self._channel.call(
                peer, Topic.LEDGER_RESOLVE, job_id.encode(), timeout_s=SEARCH_TIMEOUT_S
            )
            fut.add_done_callback(lambda fut: collect(JobResponse.read(fut.result())))
        if not peers:
            best.set_result(_best(job_id, replies))
        return best

    def _on_resolve(self, sender: str, body: bytes) -> bytes:
        return self._authority.resolve(body.decode()).to_bytes()


def _best(job_id: str, replies: list[JobResponse | Failure]) -> JobResponse | None:
    found = [
        reply
        for reply in replies
        if isinstance(reply, JobResponse)
        and reply.kind is ReplyKind.ANSWER
        and reply.job_id == job_id
    ]
    return min(found, key=_rank, default=None)


def _rank(reply: JobResponse) -> int:
    """Rank an outcome before a running job, and both before a claim whose outcome is unknown."""
    code = JobAnswer.from_bytes(reply.answer).code
    if code is ResultCode.PENDING:
        return 1
    return 0 if code < ResultCode.OWNER_UNREACHABLE else 2
