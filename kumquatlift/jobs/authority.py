"""Answers for jobs claimed in this process's ledgers or copied here, and runs claimed jobs."""

import threading
from collections.abc import Callable
from concurrent.futures import Future
from enum import Enum

from kumquatlift.clock import Clock
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.jobs.claim import Claim, ClaimState, Record, Standing
from kumquatlift.jobs.claims import Claims
from kumquatlift.jobs.copies import Copies
from kumquatlift.jobs.dispatcher import JobExecutor
from kumquatlift.jobs.identity import JobId
from kumquatlift.jobs.job import JobAnswer, JobRequest
from kumquatlift.jobs.ledger_frame import JobAsk, JobResponse, Place, ReplyKind, Role
from kumquatlift.log import get_logger


class Verb(Enum):
    """What a question about a job asks for."""

    SUBMIT = "submit"
    GET = "get"
    CANCEL = "cancel"


class _Job:
    """A job that this process is claiming or running."""

    def __init__(self, ask: JobAsk, place: Place) -> None:
        self.id = ask.job_id
        self.digest = ask.digest
        self.deadline_at = ask.deadline_at
        self.place = place
        self.peers: set[str] = set()
        self.is_started = False
        self.is_cancelled = False
        self.reply: JobResponse | None = None


class JobAuthority:
    """Decides, in the role of writer or backup, what becomes of an id.

    An id is claimed before its job runs, and a refusal of an id that the caller knows is recorded
    the same way before it is answered: another message with the same id may be on its way, and it
    must not run what was reported as not run.

    Args:
        claims: Ledgers of this process.
        copies: Replicas of other processes' ledgers.
        clock: Monotonic clock.
        executor: Runs claimed jobs.
        publish: Takes each job's final reply and the peers that asked for it.
    """

    def __init__(
        self,
        *,
        claims: Claims,
        copies: Copies,
        clock: Clock,
        executor: JobExecutor,
        publish: Callable[[JobResponse, set[str]], None],
    ) -> None:
        self._claims = claims
        self._copies = copies
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
        self, verb: Verb, ask: JobAsk, *, peer: str, req: JobRequest | None = None
    ) -> JobResponse:
        """Answer a question at once; ``PENDING`` when the final reply is to be published.

        Args:
            verb: What is asked.
            ask: The question.
            peer: Entry process that gets the final reply; empty for callers of this process.
            req: The decoded request of a submission, to save decoding it again.
        """
        with self._lock:
            job = self._jobs.get(ask.job_id)
            if job is not None:
                reply = self._join(job, ask, peer)
            else:
                decided = self._decide(verb, ask)
                if isinstance(decided, JobResponse):
                    return decided
                job = self._jobs[ask.job_id] = _Job(ask, decided)
                job.peers = {peer} - {""}
                reply = None
        if reply is None:
            self._begin(job, verb, ask, req)
            reply = job.reply or _pending(job)
        elif verb is Verb.CANCEL:
            self._cancel(job)
        return reply

    def resolve(self, text: str) -> JobResponse:
        """Tell what is known about an id in any role, without changing anything."""
        with self._lock:
            job = self._jobs.get(text)
        job_id = JobId.parse(text)
        if job is not None:
            return _pending(job)
        if isinstance(job_id, Failure):
            return JobResponse(ReplyKind.NO_RECORD, text)
        ask = JobAsk(text, Place(job_id.ledger, job_id.key), Role.BACKUP)
        own, copied = self._claims.find(text), self._copies.find(text)
        if own is not None:
            standing, claim = self._claims.standing(own)
        else:
            standing, claim = self._copies.standing(copied or ask.place)
        if standing in (Standing.FREE, Standing.ADOPTED, Standing.ASK_BACKUP):
            return JobResponse(ReplyKind.NO_RECORD, text)
        return self._describe(standing, claim, ask, ask.place)

    def _decide(self, verb: Verb, ask: JobAsk) -> JobResponse | Place:
        """Return the reply, or the place where this process is to claim the id now."""
        place = ask.place
        if ask.role is Role.BACKUP:
            if verb is not Verb.GET:
                return self._take_over(ask)
            standing, claim = self._copies.standing(place)
            if standing is not Standing.ADOPTED:
                return self._describe(standing, claim, ask, place)
            place = self._claims.find(ask.job_id) or place
        standing, claim = self._claims.standing(place)
        if standing is Standing.FREE and verb is not Verb.GET:
            return place
        return self._describe(standing, claim, ask, place)

    def _take_over(self, ask: JobAsk) -> JobResponse | Place:
        ledger = self._claims.ticket()
        can_adopt = not isinstance(ledger, Failure)
        standing, claim = self._copies.take_over(
            ask.place, ask.digest, ask.deadline_at, adopt=can_adopt
        )
        if standing is Standing.ADOPTED:
            place = self._claims.find(ask.job_id) or ask.place
            standing, claim = self._claims.standing(place)
            return self._describe(standing, claim, ask, place)
        if standing is not Standing.FREE:
            return self._describe(standing, claim, ask, ask.place)
        if isinstance(ledger, Failure):
            # The id stays free, so another attempt may still adopt it.
            answer = JobAnswer(ResultCode.OWNER_UNREACHABLE, f"not run here: {ledger.reason}")
            return _answer(ask.job_id, answer)
        get_logger().info("job_adopted", job=ask.job_id, ledger=str(ledger))
        return Place(ledger, ask.job_id)

    def _join(self, job: _Job, ask: JobAsk, peer: str) -> JobResponse:
        if ask.digest and job.digest != ask.digest:
            if job.is_started:
                return _reused(ask.job_id)
            # The first payload may yet turn out not to be claimed, and then this one may run.
            answer = JobAnswer(ResultCode.CLAIM_UNKNOWN, "the id is being claimed")
            return _answer(ask.job_id, answer)
        job.peers |= {peer} - {""}
        return _pending(job)

    def _cancel(self, job: _Job) -> None:
        with self._lock:
            job.is_cancelled = True
            is_started = job.is_started
        if is_started:
            self._executor.cancel(job.id)

    def _begin(self, job: _Job, verb: Verb, ask: JobAsk, given: JobRequest | None) -> None:
        req: JobRequest | Failure
        if verb is Verb.CANCEL:
            req = Failure(ResultCode.CANCELLED_BEFORE_START, "cancelled before it was submitted")
        else:
            req = given or JobRequest.from_bytes(ask.request)
            if isinstance(req, JobRequest):
                req = self.admit(req) or req
        record = Record(job.place.key, job.digest, job.deadline_at)
        if isinstance(req, Failure):
            answer = JobAnswer.from_failure(req).to_bytes()
            record = record._replace(code=int(req.code), answer=answer)
        fut = self._claims.claim(job.place, record)
        fut.add_done_callback(lambda fut: self._on_claimed(job, req, fut.result()))

    def _on_claimed(self, job: _Job, req: JobRequest | Failure, claim: Claim | None) -> None:
        if claim is None or claim.state is not ClaimState.CLAIMED:
            self._end_unclaimed(job)
        elif isinstance(req, JobRequest):
            with self._lock:
                job.is_started = not job.is_cancelled
            if job.is_started:
                fut = self._executor.run(job.id, req, deadline_at=job.deadline_at)
                fut.add_done_callback(lambda fut: self._on_finished(job, fut))
            else:
                reason = "cancelled; no task had started"
                self._finish(job, JobAnswer(ResultCode.CANCELLED_BEFORE_START, reason))

    def _end_unclaimed(self, job: _Job) -> None:
        standing, claim = self._claims.standing(job.place)
        ask = JobAsk(job.id, job.place, Role.WRITER, job.digest)
        self._settle(job, self._describe(standing, claim, ask, job.place))

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
        # The answer is given once the backup holds it: a later question gets the same one, also
        # when this process is lost right after it.
        copied = self._claims.finish(job.place, answer.code, data)
        copied.add_done_callback(lambda _: self._settle(job, reply))

    def _settle(self, job: _Job, reply: JobResponse) -> None:
        with self._lock:
            job.reply = reply
            del self._jobs[job.id]
            peers = set(job.peers)
        self._publish(reply, peers)

    def _describe(
        self, standing: Standing, claim: Claim | None, ask: JobAsk, place: Place
    ) -> JobResponse:
        if standing is Standing.ASK_BACKUP:
            return JobResponse(
                ReplyKind.ASK_BACKUP, ask.job_id, answer=self._without_backup(claim), place=place
            )
        if standing in (Standing.NO_RECORD, Standing.ADOPTED):
            return JobResponse(ReplyKind.NO_RECORD, ask.job_id)
        if claim is not None and ask.digest and claim.digest and claim.digest != ask.digest:
            return _reused(ask.job_id)
        digest = claim.digest if claim is not None else b""
        if standing is Standing.ENDED and claim is not None:
            return JobResponse(ReplyKind.ANSWER, ask.job_id, digest, _kept_answer(claim))
        return _answer(ask.job_id, self._unfinished(standing), digest)

    def _without_backup(self, claim: Claim | None) -> bytes:
        """Return the final answer if the backup is lost too; empty while it may still tell more."""
        if claim is None or self._clock.now() < claim.deadline_at:
            return b""
        return self._unfinished(Standing.LOST).to_bytes()

    def _unfinished(self, standing: Standing) -> JobAnswer:
        if standing is Standing.FREE:
            reason = "no claim under this id yet; submit or cancel it"
            return JobAnswer(ResultCode.CLAIM_UNKNOWN, reason)
        if standing is Standing.CLOSED:
            if self._is_leaving:
                return JobAnswer(ResultCode.LEAVING, "this entry process is shutting down")
            return JobAnswer(ResultCode.LEDGER_CLOSED, "the ledger takes no new ids")
        if standing is Standing.LOST:
            reason = "the process that ran the job is lost; the job may have run"
            return JobAnswer(ResultCode.OWNER_LOST, reason)
        reason = "claimed by a process that cannot be reached; not run here"
        return JobAnswer(ResultCode.OWNER_UNREACHABLE, reason)


def _kept_answer(claim: Claim) -> bytes:
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


def _reused(job_id: str) -> JobResponse:
    answer = JobAnswer(ResultCode.ID_REUSED, "the id belongs to a job with another payload")
    return _answer(job_id, answer)


def _answer(job_id: str, answer: JobAnswer, digest: bytes = b"") -> JobResponse:
    return JobResponse(ReplyKind.ANSWER, job_id, digest, answer.to_bytes())
