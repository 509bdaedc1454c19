"""Answers requests about jobs in this process's ledgers and replicas, and runs claimed jobs."""

import threading
from collections.abc import Callable
from concurrent.futures import Future
from enum import Enum

from kumquatlift.clock import Clock
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.jobs.claim import Claim, ClaimState, IdStatus, Record
from kumquatlift.jobs.dispatcher import JobExecutor
from kumquatlift.jobs.identity import JobId
from kumquatlift.jobs.job import JobAnswer, JobRequest
from kumquatlift.jobs.ledger_frame import ClaimLocation, JobResponse, ReplyKind, Role, RoutedRequest
from kumquatlift.jobs.ledger_replicas import LedgerReplicas
from kumquatlift.jobs.ledger_writer import LedgerWriter
from kumquatlift.log import get_logger


class Verb(Enum):
    """Operation that is requested on a job."""

    SUBMIT = "submit"
    GET = "get"
    CANCEL = "cancel"


class _Job:
    """A job that this process is claiming or running."""

    def __init__(self, routed: RoutedRequest, location: ClaimLocation) -> None:
        self.id = routed.job_id
        self.digest = routed.digest
        self.deadline_at = routed.deadline_at
        self.location = location
        self.peers: set[str] = set()
        self.is_started = False
        self.is_cancelled = False
        self.reply: JobResponse | None = None


class JobAuthority:
    """Decides whether the job of an id may run, as the writer of the id's ledger or as its backup.

    An id is claimed before its job runs. A refusal of an id that the caller knows is recorded in
    the same way before it is answered: another message with the same id may be in flight, and it
    must not run a job that was reported as not run.

    Args:
        writer: Ledgers that this process writes.
        replicas: Replicas of other processes' ledgers.
        clock: Monotonic clock.
        executor: Runs claimed jobs.
        publish: Called with each job's final reply and the peers that requested it.
    """

    def __init__(
        self,
        *,
        writer: LedgerWriter,
        replicas: LedgerReplicas,
        clock: Clock,
        executor: JobExecutor,
        publish: Callable[[JobResponse, set[str]], None],
    ) -> None:
        self._writer = writer
        self._replicas = replicas
        self._clock = clock
        self._executor = executor
        self._publish = publish
        self._lock = threading.RLock()
        self._jobs: dict[str, _Job] = {}
        self._is_leaving = False

    @property
    def running(self) -> int:
        """Number of jobs being claimed or run."""
        with self._lock:
            return len(self._jobs)

    @property
    def is_idle(self) -> bool:
        """Whether no job is being claimed or run."""
        return not self.running

    def leave(self) -> None:
        """Refuse new work from now on."""
        self._is_leaving = True

    def admit(self, req: JobRequest) -> Failure | None:
        """Check a new job before it is claimed."""
        if self._is_leaving:
            return Failure(ResultCode.LEAVING, "this entry process is shutting down; use another")
        return self._executor.admit(req)

    def serve(
        self, verb: Verb, routed: RoutedRequest, *, peer: str, req: JobRequest | None = None
    ) -> JobResponse:
        """Answer a request at once; with ``PENDING`` when the final reply is published later.

        Args:
            verb: Operation that is requested.
            routed: The request.
            peer: Entry process that gets the final reply; empty for callers of this process.
            req: The decoded job of a submission; None to decode it from ``routed``.
        """
        with self._lock:
            job = self._jobs.get(routed.job_id)
            if job is not None:
                reply = self._join(job, routed, peer)
            else:
                decided = self._decide(verb, routed)
                if isinstance(decided, JobResponse):
                    return decided
                job = self._jobs[routed.job_id] = _Job(routed, decided)
                job.peers = {peer} - {""}
                reply = None
        if reply is None:
            self._start_claim(job, verb, routed, req)
            reply = job.reply or _pending(job)
        elif verb is Verb.CANCEL:
            self._cancel(job)
        return reply

    def resolve(self, text: str) -> JobResponse:
        """Return what is known about an id in any role, without changing anything."""
        with self._lock:
            job = self._jobs.get(text)
        job_id = JobId.parse(text)
        if job is not None:
            return _pending(job)
        if isinstance(job_id, Failure):
            return JobResponse(ReplyKind.NO_RECORD, text)
        routed = RoutedRequest(text, ClaimLocation(job_id.ledger, job_id.key), Role.BACKUP)
        own, replicated = self._writer.find(text), self._replicas.find(text)
        if own is not None:
            status, claim = self._writer.status(own)
        else:
            status, claim = self._replicas.status(replicated or routed.location)
        if status in (IdStatus.FREE, IdStatus.ADOPTED, IdStatus.ASK_BACKUP):
            return JobResponse(ReplyKind.NO_RECORD, text)
        return self._reply_for(status, claim, routed, routed.location)

    def _decide(self, verb: Verb, routed: RoutedRequest) -> JobResponse | ClaimLocation:
        """Return the reply, or the location at which this process must now claim the id."""
        location = routed.location
        if routed.role is Role.BACKUP:
            if verb is not Verb.GET:
                return self._take_over(routed)
            status, claim = self._replicas.status(location)
            if status is not IdStatus.ADOPTED:
                return self._reply_for(status, claim, routed, location)
            location = self._writer.find(routed.job_id) or location
        status, claim = self._writer.status(location)
        if status is IdStatus.FREE and verb is not Verb.GET:
            return location
        return self._reply_for(status, claim, routed, location)

    def _take_over(self, routed: RoutedRequest) -> JobResponse | ClaimLocation:
        ledger = self._writer.ticket()
        can_adopt = not isinstance(ledger, Failure)
        status, claim = self._replicas.take_over(
            routed.location, routed.digest, routed.deadline_at, adopt=can_adopt
        )
        if status is IdStatus.ADOPTED:
            location = self._writer.find(routed.job_id) or routed.location
            status, claim = self._writer.status(location)
            return self._reply_for(status, claim, routed, location)
        if status is not IdStatus.FREE:
            return self._reply_for(status, claim, routed, routed.location)
        if isinstance(ledger, Failure):
            # The id stays free, so another attempt may still adopt it.
            answer = JobAnswer(ResultCode.OWNER_UNREACHABLE, f"not run here: {ledger.reason}")
            return _answer(routed.job_id, answer)
        get_logger().info("job_adopted", job=routed.job_id, ledger=str(ledger))
        return ClaimLocation(ledger, routed.job_id)

    def _join(self, job: _Job, routed: RoutedRequest, peer: str) -> JobResponse:
        if routed.digest and job.digest != routed.digest:
            if job.is_started:
                return _id_reused(routed.job_id)
            # The claim of the first payload may still fail, and then this payload may run.
            answer = JobAnswer(ResultCode.CLAIM_UNKNOWN, "the id is being claimed")
            return _answer(routed.job_id, answer)
        job.peers |= {peer} - {""}
        return _pending(job)

    def _cancel(self, job: _Job) -> None:
        with self._lock:
            job.is_cancelled = True
            is_started = job.is_started
        if is_started:
            self._executor.cancel(job.id)

    def _start_claim(
        self, job: _Job, verb: Verb, routed: RoutedRequest, decoded: JobRequest | None
    ) -> None:
        req: JobRequest | Failure
        if verb is Verb.CANCEL:
            req = Failure(ResultCode.CANCELLED_BEFORE_START, "cancelled before it was submitted")
        else:
            req = decoded or JobRequest.from_bytes(routed.request)
            if isinstance(req, JobRequest):
                req = self.admit(req) or req
        record = Record(job.location.key, job.digest, job.deadline_at)
        if isinstance(req, Failure):
            answer = JobAnswer.from_failure(req).to_bytes()
            record = record._replace(code=int(req.code), answer=answer)
        fut = self._writer.claim(job.location, record)
        fut.add_done_callback(lambda fut: self._on_claimed(job, req, fut.result()))

    def _on_claimed(self, job: _Job, req: JobRequest | Failure, claim: Claim | None) -> None:
        if claim is None or claim.state is not ClaimState.CLAIMED:
            self._on_not_claimed(job)
        elif isinstance(req, JobRequest):
            with self._lock:
                job.is_started = not job.is_cancelled
            if job.is_started:
                fut = self._executor.run(job.id, req, deadline_at=job.deadline_at)
                fut.add_done_callback(lambda fut: self._on_finished(job, fut))
            else:
                reason = "cancelled; no task had started"
                self._finish(job, JobAnswer(ResultCode.CANCELLED_BEFORE_START, reason))

    def _on_not_claimed(self, job: _Job) -> None:
        status, claim = self._writer.status(job.location)
        routed = RoutedRequest(job.id, job.location, Role.WRITER, job.digest)
        self._settle(job, self._reply_for(status, claim, routed, job.location))

    def _on_finished(self, job: _Job, fut: Future[JobAnswer]) -> None:
        exc = fut.exception()
        if exc is not None:
            answer = JobAnswer(ResultCode.ATTEMPT_UNKNOWN, f"the dispatcher failed: {exc!r}")
        else:
            answer = fut.result()
        self._finish(job, answer)

    def _finish(self, job: _Job, answer: JobAnswer) -> None:
        data = answer.to_bytes()
        reply = JobResponse(ReplyKind.ANSWER, job.id, job.digest, data)
        # The answer is published once the backup has stored it, so that later requests get the
        # same answer even if this process fails right afterwards.
        replicated = self._writer.finish(job.location, answer.code, data)
        replicated.add_done_callback(lambda _: self._settle(job, reply))

    def _settle(self, job: _Job, reply: JobResponse) -> None:
        with self._lock:
            job.reply = reply
            del self._jobs[job.id]
            peers = set(job.peers)
        self._publish(reply, peers)

    def _reply_for(
        self, status: IdStatus, claim: Claim | None, routed: RoutedRequest, location: ClaimLocation
    ) -> JobResponse:
        if status is IdStatus.ASK_BACKUP:
            return JobResponse(
                ReplyKind.ASK_BACKUP,
                routed.job_id,
                answer=self._fallback_answer(claim),
                location=location,
            )
        if status in (IdStatus.NO_RECORD, IdStatus.ADOPTED):
            return JobResponse(ReplyKind.NO_RECORD, routed.job_id)
        if claim is not None and routed.digest and claim.digest and claim.digest != routed.digest:
            return _id_reused(routed.job_id)
        digest = claim.digest if claim is not None else b""
        if status is IdStatus.ENDED and claim is not None:
            return JobResponse(ReplyKind.ANSWER, routed.job_id, digest, _stored_answer(claim))
        return _answer(routed.job_id, self._answer_for_status(status), digest)

    def _fallback_answer(self, claim: Claim | None) -> bytes:
        """Return the answer to give if the backup is lost; empty while it may still know more."""
        if claim is None or self._clock.now() < claim.deadline_at:
            return b""
        return self._answer_for_status(IdStatus.LOST).to_bytes()

    def _answer_for_status(self, status: IdStatus) -> JobAnswer:
        if status is IdStatus.FREE:
            reason = "no claim under this id yet; submit or cancel it"
            return JobAnswer(ResultCode.CLAIM_UNKNOWN, reason)
        if status is IdStatus.CLOSED:
            if self._is_leaving:
                return JobAnswer(ResultCode.LEAVING, "this entry process is shutting down")
            return JobAnswer(ResultCode.LEDGER_CLOSED, "the ledger takes no new ids")
        if status is IdStatus.LOST:
            reason = "the process that ran the job is lost; the job may have run"
            return JobAnswer(ResultCode.OWNER_LOST, reason)
        reason = "claimed by a process that cannot be reached; not run here"
        return JobAnswer(ResultCode.OWNER_UNREACHABLE, reason)


def _stored_answer(claim: Claim) -> bytes:
    if claim.answer:
        return claim.answer
    code = ResultCode(claim.code)
    if code is ResultCode.COMPLETE:
        answer = JobAnswer(ResultCode.RECORD_LOST, "the job ran; its results are no longer kept")
    else:
        answer = JobAnswer(code, "details are not kept")
    return answer.to_bytes()


def _pending(job: _Job) -> JobResponse:
    return _answer(job.id, JobAnswer(ResultCode.PENDING, "the job is not finished"), job.digest)


def _id_reused(job_id: str) -> JobResponse:
    answer = JobAnswer(ResultCode.ID_REUSED, "the id belongs to a job with another payload")
    return _answer(job_id, answer)


def _answer(job_id: str, answer: JobAnswer, digest: bytes = b"") -> JobResponse:
    return JobResponse(ReplyKind.ANSWER, job_id, digest, answer.to_bytes())
