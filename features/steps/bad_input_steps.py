"""Steps that send invalid requests."""

import socket
from collections.abc import Callable
from typing import Any

from behave import when

from kumquatlift.client import call
from kumquatlift.failure import Failure

GOOD = {"service": "work", "kind": "once", "tasks": [{"id": "t", "body": {"run_ms": 1}}]}


def _job(**changes: Any) -> dict[str, Any]:
    return {**GOOD, **changes}


def _tasks(count: int, **fields: Any) -> list[dict[str, Any]]:
    return [{"id": f"t{number}", "body": None, **fields} for number in range(count)]


PAYLOADS: dict[str, Callable[[], Any]] = {
    "malformed JSON": lambda: b'{"service": "work", ',
    "JSON of a list": lambda: [GOOD],
    "deep nesting": lambda: b"[" * 100_000,
    "no tasks": lambda: _job(tasks=[]),
    "oversized task": lambda: _job(tasks=_tasks(1, body="x" * 70_000)),
    "oversized body": lambda: b" " * (5 * 1024 * 1024),
    "541 tasks": lambda: _job(tasks=_tasks(541)),
    "unknown service": lambda: _job(service="other"),
    "unknown kind": lambda: _job(kind="other"),
    "duplicate task ids": lambda: _job(tasks=_tasks(2, id="same")),
    "never fits": lambda: _job(tasks=_tasks(61)),
    "bad job id": lambda: _job(id="no-such-form"),
    "unknown team": lambda: _job(team="other"),
}


@when("these requests are sent to {entry} meanwhile")
def send_bad_requests(context: Any, entry: str) -> None:
    address = context.world.callers(entry)
    wrong = {}
    for row in context.table:
        payload = PAYLOADS.get(row["request"], dict)()
        path = "/v1/jobs" if row["request"] in PAYLOADS else "/v1/other"
        answer = call(address, "POST", path, payload=payload)
        code = answer.code if isinstance(answer, Failure) else answer.get("code")
        if code != int(row["code"]) or (isinstance(answer, dict) and answer.get("ran") != "no"):
            wrong[row["request"]] = answer
    assert not wrong, wrong


@when("{count:d} requests are sent incompletely to {entry} and kept open")
def send_half(context: Any, count: int, entry: str) -> None:
    for _ in range(count):
        sock = _send_part(context, entry)
        context.add_cleanup(sock.close)


@when("{count:d} truncated requests are sent to {entry}")
def send_truncated(context: Any, count: int, entry: str) -> None:
    for _ in range(count):
        _send_part(context, entry).close()


def _send_part(context: Any, entry: str) -> socket.socket:
    host, _, port = context.world.callers(entry).rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=5)
    sock.sendall(b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{")
    return sock
