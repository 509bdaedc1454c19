"""Handles requests about jobs, configuration and upstreams on the leader."""

import itertools
import math
from collections.abc import Callable
from typing import Any

from kumquatlift.authority._admission import MIN_RETRY_MS, Estimate, RefusalCause
from kumquatlift.authority._api import Operation, Reply, Request
from kumquatlift.authority._attempts import Attempts, ReplyCallback
from kumquatlift.authority._commands import (
    MAX_START_AHEAD_MS,
    Command,
    CommandKind,
    UpstreamState,
)
from kumquatlift.authority._evacuation import OrderNumber, evacuation_command
from kumquatlift.authority._leader import Leader
from kumquatlift.authority._serving import Queue
from kumquatlift.authority._state import Applied, CancelNote, State, job_of
from kumquatlift.authority._work import RESULT_STATES, Job, JobSpec, JobState
from kumquatlift.blackboard import Section
from kumquatlift.codes import ResultCode
from kumquatlift.log import get_logger

# No job is accepted while the leader holds this many, so that memory stays bounded.
MAX_JOBS = 60_000
TOO_MANY_JOBS = "the leader holds as many jobs as it may"
WAITED_TOO_LONG = "no upstream became free in time"

_DONE = Reply(ResultCode.ACCEPTED)


class Requests:
    """Handles the requests of one term and answers callers that wait for a commit or a job's end.

    Args:
        leader: The leader.
        term: Its term.
        state: Replicated state.
        propose: Appends a command to the log and returns its index, or None if this instance does
            not lead.
        attempts: Submissions that wait for the end of their job.
        section: Section of the blackboard.
    """

    def __init__(
        self,
        *,
        leader: Leader,
        term: int,
        state: State,
        propose: Callable[[Command], int | None],
        attempts: Attempts,
        section: Section,
    ) -> None:
        self._leader = leader
        self._term = term
        self._state = state
        self._propose = propose
        self._section = section
        # Callers that wait for the commit of a log entry, by the index of the entry.
        self._waiters: dict[int, list[ReplyCallback]] = {}
        self._attempts = attempts
        # Log indexes of the submitted jobs that are not committed yet, by job.
        self._open_submits: dict[str, int] = {}
        self._evacuation_number = OrderNumber(term=term, evacuations=lambda: state.evacuations)
        # Submissions of jobs that earlier leaders may have started and that this one would refuse.
        # They wait until the runs of earlier leaders are known.
        self._held: list[tuple[dict[str, Any], ReplyCallback]] = []
        leader.on_recovered = self._submit_held

    def handle(self, request: Request, answer: ReplyCallback) -> None:
        """Answer a request, either at once or after a commit or the end of a job.

        Args:
            request: The request.
            answer: Is called with the reply.

        Raises:
            KeyError, TypeError, ValueError: The request's fields are not those of its operation.
        """
        fields = request.fields
        match request.operation:
            case Operation.SUBMIT:
                self._submit(fields, answer)
            case Operation.STATUS:
                self._status(fields, answer)
            case Operation.CANCEL:
                self._cancel(fields, answer)
            case Operation.WITHDRAW:
                self._withdraw(fields, answer)
            case Operation.PENDING:
                self._pending(fields, answer)
            case Operation.REPLACE_CONFIG:
                self._replace_config(fields, answer)
            case Operation.READ_CONFIG:
                cfg = self._state.routing.cfg
                answer(Reply(ResultCode.ACCEPTED, {"version": cfg.version, "source": cfg.source}))
            case Operation.ANNOUNCE:
                cold_s = fields.get("cold_ms", 0) / 1000
                self._announce(UpstreamState(*fields["upstream"]), cold_s, answer)
            case Operation.LEAVE:
                self._leave(fields, answer)
            case Operation.EVACUATE:
                self._evacuate(fields, answer)
            case Operation.WHO_LEADS:
                raise ValueError("each instance answers this operation itself")

    def on_applied(self, applied: Applied) -> None:
        """Answer the callers that wait for the commit of a log entry."""
        if applied.job is not None:
            self._open_submits.pop(applied.job.job_id, None)
        elif applied.command is None:
            for job_id, index in list(self._open_submits.items()):
                if index == applied.position:
                    del self._open_submits[job_id]
        for waiter in self._waiters.pop(applied.position, ()):
            waiter(_commit_reply(applied))

    def on_closed(self, job: Job) -> None:
        """Answer the callers that wait for the end of a job."""
        for answer in self._attempts.pop(job.job_id):
            answer(_result_reply(job))

    def fail_waiting(self) -> None:
        """Tell all waiting callers that the leader has changed, and so the result is unknown.

        A submission of which this leader has started nothing, and can start nothing more, counts as
        one that has not reached a leader. Its frontend knows whether it reached an earlier one.
        """
        waiters, self._waiters = self._waiters, {}
        self._open_submits.clear()
        held, self._held = self._held, []
        unknown = Reply(ResultCode.CLAIM_UNKNOWN, {"reason": "leadership changed"})
        for waiter in itertools.chain(*waiters.values()):
            waiter(unknown)
        attempts = self._attempts.pop_all()
        untouched = {job_id for job_id, _ in attempts if self._leader.is_untouched(job_id)}
        get_logger().info(
            "leader_ends",
            term=self._term,
            submits=len(attempts),
            untouched_submits=sum(job_id in untouched for job_id, _ in attempts),
            held_submits=len(held),
            commits=len(waiters),
        )
        for job_id, waiter in attempts:
            self._section.count("untouched_submits", int(job_id in untouched))
            waiter(Reply(ResultCode.NOT_LEADER) if job_id in untouched else unknown)
        for _, waiter in held:
            waiter(Reply(ResultCode.NOT_LEADER))

    def _commit(self, command: Command, answer: ReplyCallback) -> int | None:
        """Propose a command and answer when it is committed; return its index, if it has one."""
        index = self._propose(command)
        if index is None:
            answer(Reply(ResultCode.NOT_LEADER))
        else:
            self._waiters.setdefault(index, []).append(answer)
        return index

    def _find_queue(self, fields: dict[str, Any], answer: ReplyCallback) -> Queue | None:
        """Return the queue of a request; if there is none, answer the request and return None."""
        if not self._state.routing.cfg.version:
            answer(Reply(ResultCode.OVERLOADED, {"reason": "there is no configuration yet"}))
            return None
        queue = self._state.routing.find(fields["host"], fields["path"])
        if queue is None:
            answer(Reply(ResultCode.UNKNOWN_SERVICE, {"version": self._state.routing.cfg.version}))
        return queue

    def _submit(self, fields: dict[str, Any], answer: ReplyCallback) -> None:
        job_id, attempt = fields["job"], fields.get("attempt", "")
        if self._attempts.is_withdrawn(attempt):
            answer(Reply(ResultCode.NOT_FOUND))
            return
        known = self._leader.find_job(job_id)
        if known is not None:
            get_logger().info(
                "job_submitted_again",
                job=job_id,
                attempt=attempt,
                state=known.state,
                callers=self._attempts.count(job_id),
            )
            self._answer_known(known, fields, answer)
            return
        open_index = self._open_submits.get(job_id)
        if open_index is not None:
            self._waiters.setdefault(open_index, []).append(answer)
            return
        note = self._state.cancelled.get(job_id)
        if note is not None and JobSpec.from_plain(fields["spec"]).answers_at_end:
            get_logger().info("cancelled_job_submitted", job=job_id, attempt=attempt)
            answer(_result_reply(note))
            return
        queue = self._find_queue_of_submission(fields, answer)
        if queue is None:
            return
        spec = JobSpec.from_plain(fields["spec"])
        decision = self._leader.decide_admission(queue, spec, fields["zone"])
        is_full = len(self._state.jobs) + len(self._leader.unlogged) >= MAX_JOBS
        is_refused = is_full or not decision.is_accepted
        reason = TOO_MANY_JOBS if is_full else decision.cause.value
        # A refusal says that the job has not run, which is not true of a job with orphaned runs.
        if is_refused and not self._leader.runs.orphans.has_started(job_id):
            if self._is_held(fields, answer):
                return
            get_logger().info(
                "job_refused",
                job=job_id,
                attempt=attempt,
                queue=queue.name,
                wait_ms=round(decision.wait_ms),
                retry_after_ms=decision.retry_after_ms,
                reason=reason,
                is_resent=bool(fields.get("is_resent")),
                order_ms=round(self._leader.runs.orders.answer_ms),
                **_estimate_fields(decision.estimate),
                jobs=len(self._state.jobs),
                config=self._state.routing.cfg.version,
            )
            self._section.count("jobs_refused")
            if decision.cause is RefusalCause.OVER_SHARE:
                self._section.count("jobs_refused_over_share")
            answer(
                Reply(
                    ResultCode.OVERLOADED,
                    {"retry_after_ms": decision.retry_after_ms, "reason": reason},
                )
            )
            return
        command = Command(
            CommandKind.JOB,
            {
                "job": job_id,
                "queue": queue.key,
                "spec": spec.to_plain(),
                "at_ms": self._state.wall_ms(),
                "max_attempts": queue.max_attempts,
                "zone": fields["zone"],
            },
        )
        index = None
        if spec.answers_at_end:
            job = job_of(command, self._term, is_logged=False)
            self._attempts.add(job_id, attempt, answer, wait_s=_wait_s(fields))
            self._add_unlogged(job)
        else:
            index = self._commit(command, answer)
            if index is not None:
                self._open_submits[job_id] = index
                if note is not None:
                    # For replicas of earlier versions, which keep no note of the cancelling.
                    self._propose(Command(CommandKind.CANCEL, {"job": job_id, "at_ms": note.at_ms}))
        get_logger().info(
            "job_accepted",
            job=job_id,
            attempt=attempt,
            queue=queue.name,
            index=index,
            wait_ms=round(decision.wait_ms),
            work_ms=round(spec.work_ms),
            config=self._state.routing.cfg.version,
        )
        self._section.count("jobs_accepted")

    def _add_unlogged(self, job: Job) -> None:
        try:
            self._leader.add_job(job)
        except (KeyError, TypeError, ValueError) as exc:
            # Such errors count as faults of the request, whose answer says that it has not run.
            raise RuntimeError(f"{job.job_id} may run: {exc!r}") from exc

    def _find_queue_of_submission(
        self, fields: dict[str, Any], answer: ReplyCallback
    ) -> Queue | None:
        """Return the queue of a submission; if there is none, answer it and return None.

        What an earlier leader accepted stays accepted when its queue is dropped. A job that the
        caller itself submits again then gets no further runs, but isn't refused either.
        """
        host, path = fields["host"], fields["path"]
        if self._state.routing.find(host, path) is not None:
            return self._find_queue(fields, answer)
        if self._leader.runs.orphans.has_started(fields["job"]):
            former = self._state.find_former_queue(host, path)
            if former is None or not fields.get("is_resent"):
                answer(Reply(ResultCode.TIMED_OUT, {"reason": "its queue was dropped"}))
                return None
            get_logger().info("former_queue_used", job=fields["job"], queue=former.name)
            return former
        if self._is_held(fields, answer):
            return None
        has_config = bool(self._state.routing.cfg.version)
        get_logger().info(
            "job_refused",
            job=fields["job"],
            attempt=fields.get("attempt", ""),
            reason="there is no such queue" if has_config else "there is no configuration yet",
            is_resent=bool(fields.get("is_resent")),
            config=self._state.routing.cfg.version,
        )
        return self._find_queue(fields, answer)

    def _is_held(self, fields: dict[str, Any], answer: ReplyCallback) -> bool:
        """Keep a submission that may run already until this is known; return whether it is kept.

        Other submissions are refused at once, unless their queue was dropped: a caller whose
        frontend was lost submits its job again at another one, which doesn't know of that.
        """
        may_have_run = fields.get("is_resent") or self._has_former_queue(fields)
        if not may_have_run or not self._leader.is_recovering:
            return False
        get_logger().info(
            "submit_held", job=fields["job"], attempt=fields.get("attempt", ""), term=self._term
        )
        self._section.count("submits_held")
        self._held.append((fields, answer))
        return True

    def _has_former_queue(self, fields: dict[str, Any]) -> bool:
        host, path = fields["host"], fields["path"]
        is_dropped = self._state.routing.find(host, path) is None
        return is_dropped and self._state.find_former_queue(host, path) is not None

    def _submit_held(self) -> None:
        held, self._held = self._held, []
        for fields, answer in held:
            try:
                self._submit(fields, answer)
            except (KeyError, TypeError, ValueError) as exc:
                answer(Reply(ResultCode.MALFORMED, {"reason": repr(exc)}))
            except Exception as exc:
                get_logger().error("held_submit_failed", job=fields["job"], error=repr(exc))
                answer(Reply(ResultCode.TIMED_OUT, {"reason": repr(exc)}))

    def _answer_known(self, job: Job, fields: dict[str, Any], answer: ReplyCallback) -> None:
        """Answer a submission of a known job as it asks for, at once or at the end of the job."""
        if not JobSpec.from_plain(fields["spec"]).answers_at_end:
            if job.is_logged:
                answer(_DONE)
            else:
                reason = "the id belongs to a job that is not stored"
                answer(Reply(ResultCode.MALFORMED, {"reason": reason}))
        elif job.is_open:
            attempt = fields.get("attempt", "")
            self._attempts.add(job.job_id, attempt, answer, wait_s=_wait_s(fields))
        else:
            answer(_result_reply(job))

    def _status(self, fields: dict[str, Any], answer: ReplyCallback) -> None:
        job = self._leader.find_job(fields["job"])
        if job is None:
            note = self._state.cancelled.get(fields["job"])
            answer(_cancel_reply(note.state if note is not None else ""))
            return
        state = "running" if job.is_open and self._leader.has_begun(job.job_id) else job.state
        answer(Reply(ResultCode.ACCEPTED, {"state": state}))

    def _cancel(self, fields: dict[str, Any], answer: ReplyCallback) -> None:
        """Cancel a job; the answer binds the leaders that follow, so it waits for a commit.

        That holds for a job that isn't in the log and for an unknown one, too: a frontend may wait
        to hand it on to the next leader.
        """
        job_id = fields["job"]
        job = self._leader.find_job(job_id)
        note = self._state.cancelled.get(job_id)
        if job is not None and job.is_logged and not job.is_open:
            answer(_cancel_reply(job.state))
            return
        if note is not None and (job is None or not job.is_open):
            answer(_cancel_reply(note.state))
            return
        is_known = job is not None or job_id in self._open_submits
        get_logger().info("job_cancelled", job=job_id, is_known=is_known)
        self._section.count("cancels")
        command_fields = {"job": job_id, "at_ms": self._state.wall_ms()}
        if job is not None and not job.is_logged:
            if job.is_open:
                job.close(JobState.CANCELLED, self._state.wall_ms())
                self._leader.on_cancelled(job)
            command_fields["state"] = job.state
        self._commit(Command(CommandKind.CANCEL, command_fields), answer)

    def _withdraw(self, fields: dict[str, Any], answer: ReplyCallback) -> None:
        """Remove a submission whose caller has left; abandon its job if no other one waits."""
        job = self._leader.find_job(fields["job"])
        is_last = self._attempts.withdraw(fields["job"], fields["attempt"])
        if is_last and job is not None and job.is_open and not job.is_logged:
            self._section.count("jobs_abandoned")
            self._leader.abandon(job)
        answer(_DONE)

    def _pending(self, fields: dict[str, Any], answer: ReplyCallback) -> None:
        queue = self._find_queue(fields, answer)
        if queue is not None:
            answer(Reply(ResultCode.ACCEPTED, {"pending": self._leader.pending(queue.key)}))

    def _replace_config(self, fields: dict[str, Any], answer: ReplyCallback) -> None:
        if fields["version"] <= self._state.routing.cfg.version:
            answer(Reply(ResultCode.APPLIED, {"version": self._state.routing.cfg.version}))
            return
        get_logger().info("config_proposed", version=fields["version"])
        command = Command(
            CommandKind.CONFIG, {"version": fields["version"], "source": fields["source"]}
        )
        self._commit(command, answer)

    def _evacuate(self, fields: dict[str, Any], answer: ReplyCallback) -> None:
        """Empty a zone or take it back, if the order names the number of the newest one.

        Otherwise the answer holds that number. Each order is committed, also one that changes
        nothing: the state may be about to change by an order that isn't committed yet.
        """
        zone, is_empty = fields["zone"], bool(fields["is_empty"])
        upstreams = self._state.upstreams.values()
        is_known = fields.get("is_known") or zone in self._state.evacuations
        if not is_known and not any(each.zone == zone for each in upstreams):
            answer(Reply(ResultCode.NOT_FOUND, {"reason": "there is no such zone"}))
            return
        number = self._evacuation_number.newest
        if fields.get("number") != number:
            answer(Reply(ResultCode.ACCEPTED, {"number": number}))
            return
        get_logger().info("evacuation_proposed", zone=zone, is_empty=is_empty)
        index = self._commit(evacuation_command(zone, is_empty=is_empty), answer)
        self._evacuation_number.record(index)

    def _announce(self, upstream: UpstreamState, cold_s: float, answer: ReplyCallback) -> None:
        upstream = upstream._replace(labels=tuple(upstream.labels))
        announced = self._state.upstreams.get(upstream.upstream_id)
        known = announced or self._state.departed.get(upstream.upstream_id)
        latest_ms = self._state.wall_ms() + MAX_START_AHEAD_MS
        if upstream.started_at_ms > latest_ms:
            get_logger().warning("upstream_from_future", upstream=upstream.upstream_id)
            answer(Reply(ResultCode.MALFORMED, {"reason": "born: too far in the future"}))
            return
        if announced is not None and announced.started_at_ms > latest_ms:
            # Earlier versions stored it. The next announcement takes its place.
            get_logger().warning("upstream_from_future_removed", upstream=upstream.upstream_id)
            self._leave({"upstream": upstream.upstream_id}, answer)
            return
        if known is not None and upstream.started_at_ms < known.started_at_ms:
            # A delayed announcement of a previous incarnation.
            answer(_DONE)
            return
        self._leader.record_contact(upstream.upstream_id, cold_s)
        if (
            known is not None
            and upstream.started_at_ms == known.started_at_ms
            and known.is_draining
        ):
            upstream = upstream._replace(is_draining=True)
        if upstream == announced:
            answer(Reply(ResultCode.ACCEPTED, {"upstreams": len(self._leader.fleet)}))
            return
        get_logger().info(
            "upstream_announced",
            upstream=upstream.upstream_id,
            born_ms=upstream.started_at_ms,
            draining=upstream.is_draining,
            address=upstream.address,
        )
        self._commit(Command(CommandKind.UPSTREAM, {"upstream": list(upstream)}), answer)

    def _leave(self, fields: dict[str, Any], answer: ReplyCallback) -> None:
        known = self._state.upstreams.get(fields["upstream"])
        if known is None or fields.get("born_ms", known.started_at_ms) < known.started_at_ms:
            # It has left already, or this is a delayed message of a previous incarnation.
            answer(_DONE)
            return
        departure = {"upstream": known.upstream_id, "born_ms": known.started_at_ms}
        get_logger().info("upstream_leaves", upstream=known.upstream_id)
        self._commit(Command(CommandKind.UPSTREAM_LEFT, departure), answer)


def _wait_s(fields: dict[str, Any]) -> float:
    """Return the time for which the sender of a submission waits, in seconds."""
    return float(fields.get("wait_ms", math.inf)) / 1000


def _estimate_fields(estimate: Estimate) -> dict[str, float]:
    """Return what a decision rests on, as fields of a log line."""
    load, usage = estimate.load, estimate.usage
    share = usage.share / 1000 if math.isfinite(usage.share) else -1.0
    return {
        "finish_ms": round(estimate.finish_ms),
        "limit_ms": round(estimate.limit_ms),
        "slots": round(load.slots),
        "backlog_ms": round(load.backlog_ms),
        "start_ms": round(load.start_ms),
        "speed": round(estimate.speed, 2),
        "speed_age_ms": round(1000 * load.speed_age_s),
        "safety_margin": round(estimate.safety_margin, 2),
        "late_jobs_age_ms": round(1000 * load.late_jobs_age_s),
        "used_slots": round(usage.accepted / 1000, 1),
        "share_slots": round(share, 1),
    }


def _commit_reply(applied: Applied) -> Reply:
    """Return the reply to a request whose command was committed."""
    if applied.command is None:
        return Reply(ResultCode.MALFORMED, {"reason": "the command can't be applied"})
    if applied.command.kind is not CommandKind.CANCEL:
        return _DONE
    if applied.job is None:
        return _cancel_reply(applied.command.fields.get("state", ""))
    return _cancel_reply(applied.job.state)


def _cancel_reply(state: str) -> Reply:
    """Return the reply to a request about one job; an empty state stands for an unknown job."""
    return Reply(ResultCode.ACCEPTED, {"state": state}) if state else Reply(ResultCode.NOT_FOUND)


def _result_reply(job: Job | CancelNote) -> Reply:
    """Return the reply to a submission of a job that has ended, or was cancelled."""
    if job.state == JobState.REFUSED:
        fields = {"retry_after_ms": MIN_RETRY_MS, "reason": WAITED_TOO_LONG}
        return Reply(ResultCode.OVERLOADED, fields)
    # A submission is answered with one of two states, so a cancelled job has failed.
    state = job.state if job.state in RESULT_STATES else JobState.FAILED
    return Reply(ResultCode.ACCEPTED, {"state": state})
