"""Tests of the client: tickets, resubmission under the same id, and final answers."""

from typing import Any

import pytest

from kumquatlift import client as client_module
from kumquatlift.client import Client
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure

LOST = Failure(ResultCode.TIMED_OUT, "lost")


class Entries:
    """Stand-in for ``call`` that gives prepared answers in order and records the submissions."""

    def __init__(self, *answers: ResultCode | Failure) -> None:
        self.answers = list(answers)
        self.sent: list[tuple[str, str]] = []
        self.tickets = 0

    def call(
        self, address: str, _method: str, path: str, *, payload: Any, timeout_s: float
    ) -> dict[str, Any] | Failure:
        if path == "/v1/tickets":
            self.tickets += 1
            return {"ledger": f"ledger-{self.tickets}"}
        self.sent.append((address, payload["id"]))
        answer = self.answers.pop(0)
        if isinstance(answer, Failure):
            return answer
        return {"code": int(answer), "resubmit": answer.resubmit.value}


def submit(monkeypatch: pytest.MonkeyPatch, entries: Entries, **options: Any) -> ResultCode:
    monkeypatch.setattr(client_module, "call", entries.call)
    monkeypatch.setattr(client_module.time, "sleep", lambda _seconds: None)
    return Client(entries=["a:1", "b:1"], **options).submit({"service": "s"}, key="k").code


class TestClient:
    """Guards against a resubmission that starts the tasks of a job a second time."""

    def test_lost_answers_are_resubmitted_elsewhere_under_the_same_id(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        entries = Entries(LOST, ResultCode.OWNER_UNREACHABLE, ResultCode.COMPLETE)
        assert submit(monkeypatch, entries) is ResultCode.COMPLETE
        assert entries.sent == [(entry, "ledger-1.k") for entry in ("a:1", "b:1", "a:1")]

    def test_job_that_cannot_have_run_gets_a_new_id(self, monkeypatch: pytest.MonkeyPatch) -> None:
        entries = Entries(ResultCode.LEDGER_CLOSED, ResultCode.COMPLETE)
        assert submit(monkeypatch, entries) is ResultCode.COMPLETE
        assert entries.sent == [("a:1", "ledger-1.k"), ("b:1", "ledger-2.k")]

    def test_unconfirmed_claim_gets_a_new_id_only_if_it_was_sent_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        entries = Entries(ResultCode.CLAIM_UNCONFIRMED, ResultCode.COMPLETE)
        assert submit(monkeypatch, entries) is ResultCode.COMPLETE
        assert entries.sent == [("a:1", "ledger-1.k"), ("b:1", "ledger-2.k")]
        entries = Entries(LOST, ResultCode.CLAIM_UNCONFIRMED, ResultCode.COMPLETE)
        assert submit(monkeypatch, entries) is ResultCode.COMPLETE
        assert {job_id for _, job_id in entries.sent} == {"ledger-1.k"}

    @pytest.mark.parametrize("code", [ResultCode.ATTEMPT_UNKNOWN, ResultCode.NEVER_FITS])
    def test_final_answers_are_not_resubmitted(
        self, monkeypatch: pytest.MonkeyPatch, code: ResultCode
    ) -> None:
        entries = Entries(code)
        assert submit(monkeypatch, entries) is code
        assert len(entries.sent) == 1

    def test_load_refusals_are_final_on_request(self, monkeypatch: pytest.MonkeyPatch) -> None:
        entries = Entries(ResultCode.LEAVING, ResultCode.OVERLOADED)
        assert submit(monkeypatch, entries, retry_refused=False) is ResultCode.OVERLOADED
