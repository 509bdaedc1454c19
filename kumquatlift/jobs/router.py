"""Routes submissions, queries and cancellations to the process that is responsible for a job."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import Future

from kumquatlift.clock import Clock
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.jobs.authority import JobAuthority, Verb
from kumquatlift.jobs.callers import JobReply
from kumquatlift.jobs.claim import LedgerLimits
from kumquatlift.jobs.dispatcher import JobExecutor
from kumquatlift.jobs.identity import JobId
from kumquatlift.jobs.job import JobAnswer, JobRequest, digest_of
from kumquatlift.jobs.ledger_frame import ClaimLocation, JobResponse, ReplyKind, Role, RoutedRequest
from kumquatlift.jobs.ledger_replicas import LedgerReplicas
from kumquatlift.jobs.ledger_writer import LedgerWriter
from kumquatlift.jobs.repair import Repair
from kumquatlift.jobs.search import JobSearch
from kumquatlift.jobs.wait import JobWait, Stage
from kumquatlift.membership.members import Members
from kumquatlift.transport.channel import Channel, Topic

CALL_TIMEOUT_S = 1.0
DEFAULT_DEADLINE_S = 30.0
POLL_INTERVAL_S = 1.0
"""Interval for polling the process that runs a job.

Answers are pushed; polling recovers from a lost push and detects the loss of the process.
"""
ANSWER_GRACE_S = 2.0
"""How long a caller waits past the deadline, for the answer that the deadline itself causes."""
MAX_HOPS = 4
"""Limit on takeovers followed for one request; each implies the loss of one more process."""

_TOPICS = {
    Verb.SUBMIT: Topic.JOB_SUBMIT,
    Verb.GET: Topic.JOB_GET,
    Verb.CANCEL: Topic.JOB_CANCEL,
}


def _default_time_limit_s(req: JobRequest) -> float:
    return req.deadline_ms / 1000 or DEFAULT_DEADLINE_S


class JobRouter:
    """Routes each request about a job to a process that can answer it, and waits for the answer.

    Args:
        channel: Channel to the other entry processes.
        members: Membership view.
        clock: Monotonic clock.
        executor: Runs claimed jobs.
        limits: Limits of ledgers and stored answers.
        time_limit_s: Returns the seconds that a job may take if ``submit`` gets no ``deadline_at``.
    """

    def __init__(
        self,
        *,
        channel: Channel,
        members: Members,
        clock: Clock,
        executor: JobExecutor,
        limits: LedgerLimits = LedgerLimits(),  # noqa: B008 - immutable
        time_limit_s: Callable[[JobRequest], float] = _default_time_limit_s,
    ) -> None:
        self._time_limit_s = time_limit_s
        self._channel = channel
        self._members = members
        self._clock = clock
        self._lock = threading.RLock()
        self._waits: dict[str, list[JobWait]] = {}
        self._repair = Repair(channel=channel, members=members, clock=clock)
        self._writer = LedgerWriter(
            channel=channel, members=members, clock=clock, limits=limits, repair=self._repair
        )
        self._replicas = LedgerReplicas(
            channel=channel, members=members, clock=clock, limits=limits, repair=self._repair
        )
        self._authority = JobAuthority(
            writer=self._writer,
            replicas=self._replicas,
            clock=clock,
            executor=executor,
            publish=self._publish,
        )
        self._job_search = JobSearch(channel=channel, members=members, authority=self._authority)
        for verb, topic in _TOPICS.items():
            channel.handle(topic, self._handler(verb))
        channel.handle(Topic.JOB_ANSWER, self._on_answer)

    def set_limits(self, limits: LedgerLimits) -> None:
        """Replace the limits of ledgers and stored answers."""
        self._writer.limits = self._replicas.limits = limits

    def ticket(self) -> str | Failure:
        """Return the ledger in which callers may choose keys."""
        ledger = self._writer.ticket()
        return ledger if isinstance(ledger, Failure) else str(ledger)

    def submit(
        self,
        job_id: str | None,
        req: JobRequest,
        *,
        wait: bool = True,
        deadline_at: float | None = None,
    ) -> Future[JobReply]:
        """Submit a job, or attach to it if its id was submitted before.

        Args:
            job_id: Text form of the identity; None or empty for a new one.
            req: The job.
            wait: Whether to wait for the outcome; otherwise ``PENDING`` may be the answer.
            deadline_at: Monotonic seconds of this process at which the job fails; None for the
                deadline of the request or its kind.

        Returns:
            A future of the job id and its answer. The id is empty when the job was refused before
            it got one.
        """
        if not job_id:
            new_id = self._new_id(req)
            if isinstance(new_id, Failure):
                return _completed("", new_id)
            job_id = new_id
        if deadline_at is None:
            deadline_at = self._clock.now() + self._time_limit_s(req)
        data = req.to_bytes()
        routed = _make_routed_request(job_id, digest_of(data), deadline_at, data)
        return self._start(job_id, routed, Verb.SUBMIT, deadline_at + ANSWER_GRACE_S, wait, req)

    def get(self, job_id: str, wait_s: float = 0.0) -> Future[JobReply]:
        """Query a job's answer.

        Args:
            job_id: Text form of the identity.
            wait_s: How long to wait for the outcome before ``PENDING`` is the answer.
        """
        expires_at = self._clock.now() + max(wait_s, CALL_TIMEOUT_S * MAX_HOPS)
        if wait_s > 0:
            expires_at = self._clock.now() + wait_s
        return self._start(job_id, _make_routed_request(job_id), Verb.GET, expires_at, wait_s > 0)

    def cancel(self, job_id: str) -> Future[JobReply]:
        """Cancel a job; an id that was never submitted is cancelled too and never runs."""
        now = self._clock.now()
        routed = _make_routed_request(job_id, deadline_at=now)
        return self._start(job_id, routed, Verb.CANCEL, now + CALL_TIMEOUT_S * MAX_HOPS, True)

    def leave(self) -> None:
        """Accept no new work from now on; known jobs continue and are answered."""
        self._authority.leave()
        self._writer.leave()

    def drain(self, timeout_s: float) -> bool:
        """Leave, then wait for running jobs and for the replication of their outcomes.

        Returns:
            Whether the process can exit without losing a job or an outcome.
        """
        self.leave()
        end = time.monotonic() + timeout_s
        while not self.is_idle:
            if time.monotonic() >= end:
                return False
            time.sleep(0.02)
        return True

    @property
    def is_idle(self) -> bool:
        """Whether no job runs here and every outcome is replicated."""
        return self._authority.is_idle and self._writer.is_idle

    def tick(self) -> None:
        """Run due retries, rotations, expiries and polls; to be called every 50 to 100 ms."""
        self._writer.tick()
        self._replicas.tick()
        self._repair.tick()
        now = self._clock.now()
        with self._lock:
            waits = [wait for waits in self._waits.values() for wait in waits]
        for wait in waits:
            if now >= wait.expires_at:
                self._expire(wait)
            elif wait.polled_peer and now >= wait.next_poll_at:
                wait.next_poll_at = now + POLL_INTERVAL_S
                self._call(wait, wait.polled_peer, Verb.GET)

    def summary(self) -> dict[str, object]:
        """Return counts for the state dump."""
        with self._lock:
            waits = sum(map(len, self._waits.values()))
        return {
            "running": self._authority.running,
            "waiting_callers": waits,
            "own": self._writer.summary(),
            "copied": self._replicas.summary(),
            "repair_targets": self._repair.targets(),
        }

    def _new_id(self, req: JobRequest) -> str | Failure:
        # No caller knows the id yet, so it cannot be resubmitted and a refusal needs no record.
        refusal = self._authority.admit(req)
        ledger = refusal or self._writer.ticket()
        return ledger if isinstance(ledger, Failure) else str(JobId.generate(ledger))

    def _start(
        self,
        text: str,
        routed: RoutedRequest | Failure,
        verb: Verb,
        expires_at: float,
        waits_for_end: bool,
        req: JobRequest | None = None,
    ) -> Future[JobReply]:
        if isinstance(routed, Failure):
            return _completed(text, routed)
        wait = JobWait(routed, verb, expires_at=expires_at, waits_for_end=waits_for_end, req=req)
        with self._lock:
            self._waits.setdefault(routed.job_id, []).append(wait)
        self._call(wait, routed.location.ledger.writer, verb)
        return wait.fut

    def _call(self, wait: JobWait, peer: str, verb: Verb) -> None:
        """Send the request to a process, which may be this one."""
        attempt = wait.begin_attempt()
        if peer == self._members.me.name:
            reply = self._authority.serve(verb, wait.routed, peer="", req=wait.req)
            self._on_reply(wait, attempt, peer, reply)
            return
        body = wait.routed.to_bytes(self._clock.now())
        fut = self._channel.call(peer, _TOPICS[verb], body, timeout_s=CALL_TIMEOUT_S)
        fut.add_done_callback(
            lambda fut: self._on_reply(wait, attempt, peer, JobResponse.read(fut.result()))
        )

    def _on_reply(
        self, wait: JobWait, attempt: int, peer: str, reply: JobResponse | Failure
    ) -> None:
        with self._lock:
            if wait.attempt != attempt or wait.fut.done():
                return
        self._advance(wait, peer, reply)

    def _advance(self, wait: JobWait, peer: str, reply: JobResponse | Failure) -> None:
        if isinstance(reply, Failure) or reply.job_id != wait.routed.job_id:
            self._next_stage(wait)
        elif reply.kind is ReplyKind.ASK_BACKUP and reply.location is not None:
            wait.is_writer_here = peer == self._members.me.name
            wait.hops += 1
            wait.writer_lost = True
            wait.fallback_answer = reply.answer
            wait.routed = wait.routed._replace(location=reply.location)
            self._send_to_backup(wait)
        elif reply.kind is ReplyKind.NO_RECORD:
            wait.writer_lost = wait.writer_lost or wait.stage is Stage.WRITER
            wait.backup_lost = wait.backup_lost or wait.stage is Stage.BACKUP
            self._next_stage(wait)
        else:
            self._accept_answer(wait, peer, reply)

    def _accept_answer(self, wait: JobWait, peer: str, reply: JobResponse) -> None:
        answer = JobAnswer.from_bytes(reply.answer)
        if not wait.matches(reply):
            reason = "the id belongs to a job with another payload"
            answer = JobAnswer(ResultCode.ID_REUSED, reason)
        if answer.code is ResultCode.PENDING and wait.waits_for_end:
            wait.polled_peer = peer if peer != self._members.me.name else ""
            wait.is_pending = True
            wait.next_poll_at = self._clock.now() + POLL_INTERVAL_S
            return
        self._resolve(wait, answer)

    def _next_stage(self, wait: JobWait) -> None:
        if wait.stage is Stage.WRITER:
            self._send_to_backup(wait)
        else:
            self._search(wait)

    def _send_to_backup(self, wait: JobWait) -> None:
        wait.stage, wait.polled_peer = Stage.BACKUP, ""
        wait.routed = wait.routed._replace(role=Role.BACKUP)
        backup = wait.routed.location.ledger.backup
        if not backup or wait.hops > MAX_HOPS:
            wait.backup_lost = not backup
            self._search(wait)
        else:
            self._call(wait, backup, wait.verb)

    def _search(self, wait: JobWait) -> None:
        wait.stage, wait.polled_peer = Stage.SEARCH, ""
        attempt = wait.begin_attempt()
        fut = self._job_search.find(wait.routed.job_id)
        fut.add_done_callback(lambda fut: self._conclude(wait, attempt, fut.result()))

    def _conclude(self, wait: JobWait, attempt: int, found: JobResponse | None) -> None:
        if wait.attempt != attempt or wait.fut.done():
            return
        if found is not None:
            wait.waits_for_end = False
            self._accept_answer(wait, "", found)
        elif wait.writer_lost and wait.backup_lost:
            reason = "no replica of the record is left; the job may have run"
            self._resolve(wait, JobAnswer(ResultCode.RECORD_LOST, reason))
        elif wait.fallback_answer:
            self._resolve(wait, JobAnswer.from_bytes(wait.fallback_answer))
        elif wait.is_writer_here:
            reason = "this process never runs the id; only its backup, which is unreachable, might"
            self._resolve(wait, JobAnswer(ResultCode.CLAIM_UNCONFIRMED, reason))
        else:
            reason = "not run here; the processes that know the job cannot be reached"
            self._resolve(wait, JobAnswer(ResultCode.OWNER_UNREACHABLE, reason))

    def _expire(self, wait: JobWait) -> None:
        if wait.is_pending and wait.verb is not Verb.SUBMIT:
            self._resolve(wait, JobAnswer(ResultCode.PENDING, "the job is not finished"))
        else:
            reason = "no answer from the process that knows the job"
            self._resolve(wait, JobAnswer(ResultCode.TIMED_OUT, reason))

    def _resolve(self, wait: JobWait, answer: JobAnswer) -> None:
        with self._lock:
            waits = self._waits.get(wait.routed.job_id, [])
            if wait not in waits:
                return
            waits.remove(wait)
            if not waits:
                del self._waits[wait.routed.job_id]
        wait.fut.set_result(JobReply(wait.routed.job_id, answer))

    def _publish(self, reply: JobResponse, peers: set[str]) -> None:
        """Deliver a job's reply to the callers that wait here and to the requesting processes."""
        self._deliver(reply, self._members.me.name)
        for peer in peers:
            self._channel.send(peer, Topic.JOB_ANSWER, reply.to_bytes())

    def _deliver(self, reply: JobResponse, peer: str) -> None:
        with self._lock:
            waits = list(self._waits.get(reply.job_id, []))
        for wait in waits:
            # A push may arrive before the reply to the request, so its payload is checked as well.
            if wait.matches(reply) and not wait.fut.done():
                wait.begin_attempt()
                self._advance(wait, peer, reply)

    def _on_answer(self, sender: str, body: bytes) -> bytes | None:
        self._deliver(JobResponse.from_bytes(body), sender)
        return None

    def _handler(self, verb: Verb) -> Callable[[str, bytes], bytes]:
        def handle(sender: str, body: bytes) -> bytes:
            routed = RoutedRequest.from_bytes(body, self._clock.now())
            return self._authority.serve(verb, routed, peer=sender).to_bytes()

        return handle


def _make_routed_request(
    text: str, digest: bytes = b"", deadline_at: float = 0.0, request: bytes = b""
) -> RoutedRequest | Failure:
    job_id = JobId.parse(text)
    if isinstance(job_id, Failure):
        return job_id
    location = ClaimLocation(job_id.ledger, job_id.key)
    return RoutedRequest(text, location, Role.WRITER, digest, deadline_at, request)


def _completed(job_id: str, failure: Failure) -> Future[JobReply]:
    fut: Future[JobReply] = Future()
    fut.set_result(JobReply(job_id, JobAnswer.from_failure(failure)))
    return fut
