"""Calls to our programs."""

import json
from http.client import HTTPConnection, HTTPException
from typing import Any

# In place of a status: no connection or no answer in time, and a connection that ended after the
# request was sent.
NO_ANSWER = 0
CUT = -1


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    *,
    host: str = "h.example",
    timeout_s: float = 2.0,
) -> tuple[int, Any]:
    """Send one request on a connection of its own and return status and JSON body."""
    conn = HTTPConnection(address, timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body)
        conn.request(method, path, data, {"Host": host, "Content-Type": "application/json"})
        res = conn.getresponse()
        text = res.read()
        return res.status, json.loads(text) if text else None
    finally:
        conn.close()


def try_call(*args: Any, **options: Any) -> tuple[int, Any]:
    """Call and return ``NO_ANSWER`` or ``CUT`` as the status when no whole answer came."""
    try:
        return call(*args, **options)
    except (ConnectionResetError, BrokenPipeError, HTTPException):
        return CUT, None
    except (OSError, ValueError):
        return NO_ANSWER, None
