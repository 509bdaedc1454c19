"""A caller that submits jobs safely: it takes a ticket first and resubmits under the same id."""

import http.client
import json
import secrets
import time
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from kumquatlift.codes import Resubmit, ResultCode
from kumquatlift.failure import Failure

# Refusals about one entry process or one ledger rather than about load: another ticket helps.
_INSTANCE_REFUSALS = (ResultCode.LEAVING, ResultCode.LEDGER_CLOSED)
# An address that drops packets is given up sooner than one that took the request.
CONNECT_TIMEOUT_S = 2.0
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0
_TICKET_TIMEOUT_S = 2.0


class Submission(NamedTuple):
    """How the submission of one job ended.

    Args:
        answer: Fields of the last answer, or the failure that ended the attempts.
        sent: Times that the job was sent.
        lost: Times that it got no answer.
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
        answer_timeout_s: Silence after which an answer counts as lost.
        give_up_s: Time after which a job without a final answer is given up.
        retry_refused: Whether a job that was refused for load is submitted again under a new id.
        first: Index of the entry process that is used first.
        on_event: Called with one line of text on everything but a final answer.
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
        """Submit a job until it has a final answer or the time to give up has come.

        Args:
            job: Fields of the submission without an id.
            key: The caller's part of the job id; random when empty.

        Returns:
            The submission; a job without a final answer has a ``TIMED_OUT`` failure, or a
            ``NOT_DELIVERED`` failure when it was never sent.
        """
        give_up_at = time.monotonic() + self._give_up_s
        backoff_s = _INITIAL_BACKOFF_S
        ledger = ""
        sent = lost = 0
        sent_with_id = 0
        last = "no entry process gave a ticket"
        while time.monotonic() < give_up_at:
            ledger = ledger or self._request_ticket()
            if ledger:
                job_id = f"{ledger}.{key or secrets.token_hex(12)}"
                key = job_id.rpartition(".")[2]
                answer = self._submit_once({**job, "id": job_id}, give_up_at)
                sent += 1
                sent_with_id += 1
                if isinstance(answer, Failure):
                    lost += answer.code is not ResultCode.NOT_DELIVERED
                    last = str(answer)
                elif self._is_final(answer):
                    return Submission(answer, sent, lost)
                else:
                    last = f"{answer['code']} {answer.get('name')}: {answer.get('reason')}"
                    advice = _resubmit(answer)
                    may_use_new_id = advice is Resubmit.NEW_ID_IF_SOLE and sent_with_id == 1
                    if advice is Resubmit.NEW_ID or may_use_new_id:
                        ledger = ""
                        sent_with_id = 0
                    backoff_s = max(backoff_s, answer.get("retry_after_ms", 0) / 1000)
            self._on_event(f"{self._entries[self._current]}: {last}; next: another entry process")
            self._current = (self._current + 1) % len(self._entries)
            time.sleep(min(backoff_s, max(0.0, give_up_at - time.monotonic())))
            backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)
        reason = f"no final answer within {self._give_up_s:g} s; last: {last}"
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

    def _submit_once(self, job: dict[str, Any], give_up_at: float) -> dict[str, Any] | Failure:
        timeout_s = max(0.1, min(self._answer_timeout_s, give_up_at - time.monotonic()))
        entry = self._entries[self._current]
        answer = call(entry, "POST", "/v1/jobs", payload=job, timeout_s=timeout_s)
        if not isinstance(answer, Failure) and "code" not in answer:
            return Failure(ResultCode.TIMED_OUT, f"an answer without a code: {str(answer)[:100]}")
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
        address: Where to send it, "ip:port".
        method: HTTP method.
        path: Path with the query.
        payload: Body; bytes are sent as they are, anything else as JSON.
        timeout_s: Longest wait for each part of the answer.
        token: Bearer token; empty for none.

    Returns:
        The JSON object of the answer, whatever its status; a ``NOT_DELIVERED`` failure when no
        connection was made; or a ``TIMED_OUT`` failure when the effect is unknown.
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
