"""A client that gets a ticket first, so that it can resubmit a job under the same id."""

import http.client
import json
import secrets
import time
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from kumquatlift.codes import Resubmit, ResultCode
from kumquatlift.failure import Failure

# Refusals that concern one entry process or one ledger, not the load: a ticket of another entry
# process may succeed.
_INSTANCE_REFUSALS = (ResultCode.LEAVING, ResultCode.LEDGER_CLOSED)
# Shorter than the timeout of an answer, so that an address that drops packets costs little time.
CONNECT_TIMEOUT_S = 2.0
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0
_TICKET_TIMEOUT_S = 2.0


class Submission(NamedTuple):
    """Outcome of the submission of one job.

    Args:
        answer: Fields of the last answer, or a failure if no final answer arrived in time.
        sent: Number of times that the job was sent.
        lost: Number of times that it was sent and may have arrived but got no answer.
    """

    answer: dict[str, Any] | Failure
    sent: int
    lost: int

    @property
    def code(self) -> ResultCode:
        """Result code of the answer."""
        if isinstance(self.answer, Failure):
            return self.answer.code
        return ResultCode(self.answer["code"])


class Client:
    """Submits jobs to several entry processes.

    Args:
        entries: Addresses for callers, each "ip:port".
        answer_timeout_s: Longest wait for an answer before the job is sent elsewhere, in seconds.
        give_up_s: Time limit of a submission with all its retries, in seconds.
        retry_refused: Whether a job that was refused for load is submitted again under a new id.
        first: Index of the entry process that is used first.
        on_event: Called with one line of text for each attempt without a final answer.
    """

    def __init__(
        self,
        *,
        entries: Sequence[str],
        answer_timeout_s: float = 15.0,
        give_up_s: float = 120.0,
        retry_refused: bool = True,
        first: int = 0,
        on_event: Callable[[str], None] = lambda _line: None,
    ) -> None:
        self._entries = entries
        self._answer_timeout_s = answer_timeout_s
        self._give_up_s = give_up_s
        self._retry_refused = retry_refused
        self._current = first % len(entries)
        self._on_event = on_event

    def submit(self, job: dict[str, Any], *, key: str = "") -> Submission:
        """Submit a job repeatedly until it has a final answer or ``give_up_s`` has passed.

        Args:
            job: Fields of the submission without an id.
            key: The caller's part of the job id; a random one is generated when empty.

        Returns:
            The outcome. Without a final answer it holds a ``TIMED_OUT`` failure, or a
            ``NOT_DELIVERED`` failure if no ticket was received and the job was never sent.
        """
        deadline = time.monotonic() + self._give_up_s
        backoff_s = _INITIAL_BACKOFF_S
        ledger = ""
        sent = lost = 0
        sent_with_id = 0
        last_error = "got no ticket from an entry process"
        while time.monotonic() < deadline:
            ledger = ledger or self._request_ticket()
            if ledger:
                job_id = f"{ledger}.{key or secrets.token_hex(12)}"
                key = job_id.rpartition(".")[2]
                answer = self._submit_once({**job, "id": job_id}, deadline)
                sent += 1
                sent_with_id += 1
                if isinstance(answer, Failure):
                    lost += answer.code is not ResultCode.NOT_DELIVERED
                    last_error = str(answer)
                elif self._is_final(answer):
                    return Submission(answer, sent, lost)
                else:
                    last_error = f"{answer['code']} {answer.get('name')}: {answer.get('reason')}"
                    advice = _resubmit(answer)
                    may_use_new_id = advice is Resubmit.NEW_ID_IF_SOLE and sent_with_id == 1
                    if advice is Resubmit.NEW_ID or may_use_new_id:
                        ledger = ""
                        sent_with_id = 0
                    backoff_s = max(backoff_s, answer.get("retry_after_ms", 0) / 1000)
            self._on_event(
                f"{self._entries[self._current]}: {last_error}; trying another entry process"
            )
            self._current = (self._current + 1) % len(self._entries)
            time.sleep(min(backoff_s, max(0.0, deadline - time.monotonic())))
            backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)
        reason = f"no final answer within {self._give_up_s:g} s; last error: {last_error}"
        code = ResultCode.TIMED_OUT if sent else ResultCode.NOT_DELIVERED
        return Submission(Failure(code, reason), sent, lost)

    def _is_final(self, answer: dict[str, Any]) -> bool:
        match _resubmit(answer):
            case Resubmit.SAME_ID | Resubmit.NEW_ID_IF_SOLE:
                return False
            case Resubmit.NEW_ID:
                return not self._retry_refused and answer["code"] not in _INSTANCE_REFUSALS
        return True

    def _request_ticket(self) -> str:
        entry = self._entries[self._current]
        answer = call(entry, "POST", "/v1/tickets", payload={}, timeout_s=_TICKET_TIMEOUT_S)
        return "" if isinstance(answer, Failure) else str(answer.get("ledger", ""))

    def _submit_once(self, job: dict[str, Any], deadline: float) -> dict[str, Any] | Failure:
        timeout_s = max(0.1, min(self._answer_timeout_s, deadline - time.monotonic()))
        entry = self._entries[self._current]
        answer = call(entry, "POST", "/v1/jobs", payload=job, timeout_s=timeout_s)
        if not isinstance(answer, Failure) and "code" not in answer:
            return Failure(
                ResultCode.TIMED_OUT, f"the answer has no result code: {str(answer)[:100]}"
            )
        return answer


def call(
    address: str,
    method: str,
    path: str,
    *,
    payload: Any = None,
    timeout_s: float = 5.0,
    token: str = "",
) -> dict[str, Any] | Failure:
    """Make one HTTP request with a JSON body on a new connection.

    Args:
        address: Address of the server, "ip:port".
        method: HTTP method.
        path: Path with the query.
        payload: Body; bytes are sent unchanged, anything else as JSON.
        timeout_s: Longest wait for each read of the answer, in seconds.
        token: Bearer token; empty for none.

    Returns:
        The JSON object of the answer, whatever its HTTP status; a ``NOT_DELIVERED`` failure if no
        connection was made; or a ``TIMED_OUT`` failure if the request may have arrived but no
        usable answer was received.
    """
    conn = http.client.HTTPConnection(address, timeout=min(timeout_s, CONNECT_TIMEOUT_S))
    try:
        try:
            conn.connect()
            conn.sock.settimeout(timeout_s)
        except OSError as exc:
            return Failure(ResultCode.NOT_DELIVERED, f"{address} cannot be reached: {exc}")
        body = payload if isinstance(payload, bytes | None) else json.dumps(payload).encode()
        headers = {"Content-Type": "application/json"}
        if token:
            headers["Authorization"] = f"Bearer {token}"
        conn.request(method, path, body, headers)
        answer = json.loads(conn.getresponse().read())
    except (OSError, http.client.HTTPException, ValueError) as exc:
        return Failure(ResultCode.TIMED_OUT, f"{address} gave no answer: {exc!r}")
    finally:
        conn.close()
    if not isinstance(answer, dict):
        return Failure(ResultCode.TIMED_OUT, f"{address} did not answer with a JSON object")
    return answer


def _resubmit(answer: dict[str, Any]) -> Resubmit:
    try:
        return Resubmit(answer.get("resubmit"))
    except ValueError:
        return ResultCode(answer["code"]).resubmit
