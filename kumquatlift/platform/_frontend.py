"""HTTP service for callers: submits, queries and cancels jobs, and counts the pending ones."""

import secrets
import time
from typing import Any

from kumquatlift.authority import (
    CALLER_STATES,
    RESULT_STATES,
    LeaderClient,
    Operation,
    Reply,
    Request,
)
from kumquatlift.blackboard import Section
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.log import get_logger
from kumquatlift.platform._fields import WireError
from kumquatlift.platform._wire import is_job_id, read_job
from kumquatlift.transport.wsgi import ApiRequest, ApiResponse

# Long enough for the election of a new leader, and shorter than the timeout of any caller, so that
# callers still receive the answer that an outcome is unknown.
CALL_TIMEOUT_S = 1.2
# A submit waits for an elected leader for at most this share of the job's declared run time. The
# result would come too late to be useful after a longer wait.
LEADER_WAIT_SHARE = 0.4
# Longest wait for the result of a job that is answered when it ends. Callers may set a shorter one.
RESULT_TIMEOUT_S = 10.0
# Timeout for withdrawing a submission whose caller has disconnected; nobody waits for the answer.
WITHDRAW_TIMEOUT_S = 0.3
# Length of the random identity of a submission, in bytes.
ATTEMPT_ID_BYTES = 6
# Retry hint while there is no leader; elections take about a second.
NO_LEADER_RETRY_MS = 1000

_UNKNOWN = ApiResponse.from_json(504, {"reason": "the outcome is unknown; ask again"})


class Frontend:
    """Handles callers' requests by forwarding them to the leader.

    Args:
        client: Sends requests to the leader.
        zone: Availability zone of this process.
        section: Section of the blackboard for the counters of this class.
    """

    def __init__(self, *, client: LeaderClient, zone: str, section: Section) -> None:
        self._client = client
        self._zone = zone
        self._section = section
        self._submit_ms = section.histogram("submit_ms", "time to answer a submit")
        self._is_leaving = False
        self._is_closed = False
        self._abandons_requests = False

    def leave(self) -> None:
        """Report this process as not ready, so that the platform sends no new connections."""
        self._is_leaving = True

    def close(self) -> None:
        """Refuse new requests; those in progress continue."""
        self._is_closed = True

    def abandon_requests(self) -> None:
        """Answer all waiting requests with an unknown outcome, just before the process exits."""
        self._abandons_requests = True

    @property
    def is_ready(self) -> bool:
        """Whether the platform should send new connections here."""
        return not self._is_leaving and bool(self._client.leader)

    def handle(self, req: ApiRequest) -> ApiResponse:
        """Return the response to a caller's request."""
        if self._is_closed:
            return _refused(NO_LEADER_RETRY_MS, "this process ends; the request has not run")
        return self._answer(req)

    def ready(self, _req: ApiRequest) -> ApiResponse:
        """Return the response to the platform's readiness check."""
        return ApiResponse.from_json(200 if self.is_ready else 503, {"ready": self.is_ready})

    def _answer(self, req: ApiRequest) -> ApiResponse:
        last_segment = req.path.rpartition("/")[2]
        route = {"host": req.headers.get("host", "").partition(":")[0].lower(), "path": req.path}
        if not last_segment and req.method == "GET":
            return self._pending(route)
        if not is_job_id(last_segment):
            return ApiResponse.from_json(404, {"reason": "no job id of 16 hexadecimal digits"})
        if req.method == "POST":
            return self._submit(req, last_segment, route)
        if req.method == "GET":
            return self._status(last_segment)
        if req.method == "DELETE":
            return self._cancel(last_segment)
        return ApiResponse.from_json(405, {"reason": f"{req.method} is not served"})

    def _submit(self, req: ApiRequest, job_id: str, route: dict[str, str]) -> ApiResponse:
        try:
            spec = read_job(req.body)
        except WireError as exc:
            get_logger().info("job_malformed", job=job_id, reason=str(exc))
            self._section.count("jobs_malformed")
            return ApiResponse.from_json(400, {"reason": str(exc)})
        # Identifies this submission among others of the same job, here and on the leader.
        attempt = secrets.token_hex(ATTEMPT_ID_BYTES)
        fields: dict[str, Any] = {
            "job": job_id,
            "attempt": attempt,
            "spec": spec.to_plain(),
            "zone": self._zone,
            **route,
        }
        started_at = time.monotonic()
        if spec.answers_at_end:
            fields["wait_ms"] = round(_answer_timeout_s(req) * 1000)
        request = Request(Operation.SUBMIT, fields)
        leader_wait_s = LEADER_WAIT_SHARE * max(step.estimate_ms for step in spec.steps) / 1000
        if spec.answers_at_end:
            timeout_s = _answer_timeout_s(req)
            reply = self._client.call(
                request,
                timeout_s=timeout_s,
                leader_wait_s=leader_wait_s,
                attempt_s=timeout_s,
                is_abandoned=lambda: self._abandons_requests or req.is_client_disconnected(),
            )
            if isinstance(reply, Failure) and req.is_client_disconnected():
                self._withdraw(job_id, attempt)
        else:
            reply = self._client.call(
                request, timeout_s=CALL_TIMEOUT_S, leader_wait_s=leader_wait_s
            )
        self._section.count("submits")
        self._submit_ms.record((time.monotonic() - started_at) * 1000)
        if isinstance(reply, Failure) or reply.code is not ResultCode.ACCEPTED:
            return self._refuse_submit(job_id, attempt, reply)
        res = ApiResponse.from_json(200, {})
        if spec.answers_at_end:
            res = self._state_response(job_id, reply, RESULT_STATES)
        get_logger().info(
            "submit_answered",
            job=job_id,
            attempt=attempt,
            status=res.status,
            state=reply.fields.get("state", "") if spec.answers_at_end else "accepted",
            after_ms=round((time.monotonic() - started_at) * 1000),
            leader=self._client.leader,
        )
        return res

    def _withdraw(self, job_id: str, attempt: str) -> None:
        """Tell the leader that the caller of a submission has disconnected."""
        get_logger().info("caller_left", job=job_id, attempt=attempt)
        self._section.count("callers_left")
        request = Request(Operation.WITHDRAW, {"job": job_id, "attempt": attempt})
        self._client.call(request, timeout_s=WITHDRAW_TIMEOUT_S)

    def _state_response(self, job_id: str, reply: Reply, allowed: frozenset[str]) -> ApiResponse:
        """Return the response with the state in a reply; an unknown outcome if it isn't allowed."""
        state = reply.fields.get("state")
        if isinstance(state, str) and state in allowed:
            return ApiResponse.from_json(200, {"state": state})
        get_logger().error("state_not_allowed", job=job_id, state=repr(state)[:40])
        self._section.count("states_not_allowed")
        return _UNKNOWN

    def _refuse_submit(self, job_id: str, attempt: str, reply: Reply | Failure) -> ApiResponse:
        reason = reply.reason if isinstance(reply, Failure) else reply.fields.get("reason", "")
        get_logger().info(
            "submit_not_accepted",
            job=job_id,
            attempt=attempt,
            code=reply.code.label,
            reason=reason,
            leader=self._client.leader,
        )
        self._section.count(f"submits_{reply.code.label}")
        match reply.code:
            case ResultCode.NOT_DELIVERED | ResultCode.NOT_LEADER:
                return _refused(NO_LEADER_RETRY_MS, "no leader at present; the job has not run")
            case ResultCode.OVERLOADED if isinstance(reply, Reply):
                retry_ms = int(reply.fields.get("retry_after_ms", 0))
                # Leaders of earlier versions give no reason.
                return _refused(retry_ms, f"{reason or 'the queue is full'}; the job has not run")
            case ResultCode.UNKNOWN_SERVICE:
                return ApiResponse.from_json(404, {"reason": "there is no such queue"})
            case ResultCode.MALFORMED:
                return ApiResponse.from_json(400, {"reason": reason})
        return _UNKNOWN

    def _status(self, job_id: str) -> ApiResponse:
        reply = self._client.call(
            Request(Operation.STATUS, {"job": job_id}), timeout_s=CALL_TIMEOUT_S
        )
        return self._state_answer(job_id, reply)

    def _cancel(self, job_id: str) -> ApiResponse:
        reply = self._client.call(
            Request(Operation.CANCEL, {"job": job_id}), timeout_s=CALL_TIMEOUT_S
        )
        if isinstance(reply, Reply) and reply == Reply(ResultCode.ACCEPTED):
            # Leaders of earlier versions confirm the cancellation of a stored job without a state.
            return ApiResponse.from_json(200, {})
        return self._state_answer(job_id, reply)

    def _state_answer(self, job_id: str, reply: Reply | Failure) -> ApiResponse:
        if isinstance(reply, Reply) and reply.code is ResultCode.ACCEPTED:
            return self._state_response(job_id, reply, CALLER_STATES)
        if isinstance(reply, Reply) and reply.code is ResultCode.NOT_FOUND:
            return ApiResponse.from_json(410, {"reason": "no such job"})
        get_logger().info("job_not_answered", job=job_id, code=reply.code.label)
        self._section.count("states_unknown")
        return _refused(NO_LEADER_RETRY_MS, "the state is not known here at present")

    def _pending(self, route: dict[str, str]) -> ApiResponse:
        reply = self._client.call(Request(Operation.PENDING, route), timeout_s=CALL_TIMEOUT_S)
        if isinstance(reply, Reply) and reply.code is ResultCode.ACCEPTED:
            return ApiResponse.from_json(200, {"pending": reply.fields["pending"]})
        if isinstance(reply, Reply) and reply.code is ResultCode.UNKNOWN_SERVICE:
            return ApiResponse.from_json(404, {"reason": "there is no such queue"})
        return _refused(NO_LEADER_RETRY_MS, "the count is not known here at present")


def _answer_timeout_s(req: ApiRequest) -> float:
    """Return how long a caller waits for an answer, in seconds; the header is in milliseconds."""
    text = req.headers.get("deadline-ms", "")
    # Longer numbers are above the limit anyway, and ``isdigit`` alone allows "\u00b2".
    is_number = text.isascii() and text.isdigit() and len(text) < 10
    return min(RESULT_TIMEOUT_S, int(text) / 1000) if is_number else RESULT_TIMEOUT_S


def _refused(retry_after_ms: int, reason: str) -> ApiResponse:
    return ApiResponse.from_failure(Failure(ResultCode.OVERLOADED, reason, retry_after_ms))
