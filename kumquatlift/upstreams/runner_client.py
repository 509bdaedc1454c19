"""Client that sends requests to runners and classifies the outcome of each attempt."""

import http.client
import json
import time
from enum import Enum
from typing import Any, NamedTuple

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.transport.connection_pool import ConnectionPool, HttpResponse, NotSentError

# Longest time from sending a request to its arrival at the runner, where its lease begins.
DELIVERY_MARGIN_S = 1.0


class AttemptEnd(Enum):
    """Outcome of an attempt; ``UNKNOWN`` if the tasks may or may not have run."""

    OK = "ok"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RunRequest(NamedTuple):
    """One request to a runner: consecutive tasks of a job, run one after the other in one slot.

    Args:
        job: Text form of the job's identity.
        attempt: Identity of this attempt, never reused.
        kind: Request kind.
        lease_ms: Time after which the runner stops the request, in milliseconds.
        tasks: Pairs of task id and body.
    """

    job: str
    attempt: str
    kind: str
    lease_ms: int
    tasks: tuple[tuple[str, Any], ...]

    def to_bytes(self) -> bytes:
        """Encode as the JSON body of ``POST /run``."""
        tasks = [{"id": task_id, "body": body} for task_id, body in self.tasks]
        return json.dumps({**self._asdict(), "tasks": tasks}).encode()


class AttemptResult(NamedTuple):
    """Result of an attempt.

    Args:
        end: Outcome.
        failure: Code and reason, unless the outcome is ``OK``.
        results: Results by task id if the outcome is ``OK``.
        run_s: Seconds from sending the request to the outcome.
        sent: Whether the request was sent to the runner, at least in part.
    """

    end: AttemptEnd
    failure: Failure | None
    results: dict[str, Any]
    run_s: float
    sent: bool


class RunnerClient:
    """Sends requests to runners over pooled connections."""

    def __init__(self) -> None:
        self._pool = ConnectionPool()

    def run(self, address: str, req: RunRequest) -> AttemptResult:
        """Send a request and wait for its outcome.

        Args:
            address: Runner's address, "ip:port".
            req: The request.

        Returns:
            The result. It is ``NOT_RUN`` only if nothing was sent, or if the runner refused.
        """
        started_at = time.monotonic()
        body = req.to_bytes()
        timeout_s = req.lease_ms / 1000 + DELIVERY_MARGIN_S
        headers = {"Content-Type": "application/json"}
        try:
            answer = self._pool.exchange(
                address, "POST", "/run", body, headers, timeout_s=timeout_s
            )
        except NotSentError as exc:
            return _unsuccessful(AttemptEnd.NOT_RUN, ResultCode.NOT_DELIVERED, str(exc), 0.0, False)
        except TimeoutError:
            elapsed = time.monotonic() - started_at
            reason = f"{address}: no answer within {timeout_s:.3f} s"
            return _unsuccessful(AttemptEnd.UNKNOWN, ResultCode.ATTEMPT_UNKNOWN, reason, elapsed)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            elapsed = time.monotonic() - started_at
            reason = f"{address}: {type(exc).__name__}: {exc}"
            return _unsuccessful(AttemptEnd.UNKNOWN, ResultCode.ATTEMPT_UNKNOWN, reason, elapsed)
        return _classify(req, answer, time.monotonic() - started_at)

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

    def close_idle(self) -> None:
        """Close connections that have been idle for too long to be reused."""
        self._pool.close_idle()


def _classify(req: RunRequest, answer: HttpResponse, run_s: float) -> AttemptResult:
    try:
        obj = json.loads(answer.body)
    except (ValueError, RecursionError):
        obj = None
    if not isinstance(obj, dict):
        reason = f"status {answer.status} without a JSON object"
        return _unsuccessful(AttemptEnd.UNKNOWN, ResultCode.BAD_RUNNER_ANSWER, reason, run_s)
    if answer.status == 200:
        return _read_results(req, obj, run_s)
    reason = str(obj.get("reason", f"status {answer.status}"))[:200]
    if answer.status == 503 and obj.get("ran") == "no":
        retry_after = obj.get("retry_after_ms", 0)
        failure = Failure(
            ResultCode.OVERLOADED, reason, retry_after if type(retry_after) is int else 0
        )
        return AttemptResult(AttemptEnd.NOT_RUN, failure, {}, run_s, True)
    if answer.status == 500:
        return _unsuccessful(AttemptEnd.FAILED, ResultCode.TASK_FAILED, reason, run_s)
    return _unsuccessful(AttemptEnd.UNKNOWN, ResultCode.ATTEMPT_UNKNOWN, reason, run_s)


def _read_results(req: RunRequest, obj: dict[str, Any], run_s: float) -> AttemptResult:
    """Match results to tasks.

    An answer to another attempt leaves the outcome unknown; one that lacks a result is a failure.
    """
    rows = obj.get("results")
    if obj.get("attempt") != req.attempt or not isinstance(rows, list):
        reason = "the answer belongs to another attempt"
        return _unsuccessful(AttemptEnd.UNKNOWN, ResultCode.BAD_RUNNER_ANSWER, reason, run_s)
    results: dict[str, Any] = {}
    for row in rows:
        if isinstance(row, dict) and isinstance(row.get("id"), str) and "result" in row:
            results[row["id"]] = row["result"]
    if len(rows) != len(req.tasks) or results.keys() != {task_id for task_id, _ in req.tasks}:
        reason = "the answer does not hold one result a task"
        return _unsuccessful(AttemptEnd.FAILED, ResultCode.BAD_RUNNER_ANSWER, reason, run_s)
    return AttemptResult(AttemptEnd.OK, None, results, run_s, True)


def _unsuccessful(
    end: AttemptEnd, code: ResultCode, reason: str, run_s: float, sent: bool = True
) -> AttemptResult:
    return AttemptResult(end, Failure(code, reason), {}, run_s, sent)
