"""HTTP calls to the product's programs."""

import json
import select
from http.client import HTTPConnection, HTTPException, IncompleteRead
from typing import Any

# Returned instead of an HTTP status. ``NO_ANSWER``: no connection, or no answer in time.
# ``CONNECTION_LOST``: the connection ended after the request had been sent.
NO_ANSWER = 0
CONNECTION_LOST = -1
# Returned as the body of a success that is cut or is no JSON.
UNREADABLE = "(unreadable)"


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    *,
    host: str = "h.example",
    timeout_s: float = 2.0,
) -> tuple[int, Any]:
    """Send one request on a new connection, and return the status and the JSON body."""
    conn = HTTPConnection(address, timeout=timeout_s)
    try:
        return _exchange(conn, method, path, body, host)
    finally:
        conn.close()


def _exchange(
    conn: HTTPConnection, method: str, path: str, body: Any, host: str
) -> tuple[int, Any]:
    data = None if body is None else json.dumps(body)
    conn.request(method, path, data, {"Host": host, "Content-Type": "application/json"})
    res = conn.getresponse()
    try:
        text = res.read()
        return res.status, json.loads(text) if text else None
    except (IncompleteRead, ValueError):
        if not 200 <= res.status < 300:
            raise
        conn.close()
        return res.status, UNREADABLE


def try_call(*args: Any, **options: Any) -> tuple[int, Any]:
    """Call, and return ``NO_ANSWER`` or ``CONNECTION_LOST`` as the status if the call fails."""
    try:
        return call(*args, **options)
    except (ConnectionResetError, BrokenPipeError, HTTPException):
        return CONNECTION_LOST, None
    except (OSError, ValueError):
        return NO_ANSWER, None


class PersistentConnections:
    """Persistent connections of one caller, one for each address.

    A connection is reused until the server closes it or a call on it fails.
    """

    def __init__(self) -> None:
        self._conns: dict[str, HTTPConnection] = {}

    def try_call(
        self, address: str, method: str, path: str, body: Any = None, *, timeout_s: float = 2.0
    ) -> tuple[int, Any]:
        """Call on the persistent connection; see the function ``try_call``."""
        conn = self._conns.pop(address, None)
        if conn is None or _is_closed_by_server(conn):
            conn = HTTPConnection(address, timeout=timeout_s)
        conn.timeout = timeout_s
        if conn.sock is not None:
            conn.sock.settimeout(timeout_s)
        try:
            answer = _exchange(conn, method, path, body, "h.example")
        except (ConnectionResetError, BrokenPipeError, HTTPException):
            conn.close()
            return CONNECTION_LOST, None
        except (OSError, ValueError):
            conn.close()
            return NO_ANSWER, None
        self._conns[address] = conn
        return answer

    def close(self) -> None:
        """Close all connections."""
        for conn in self._conns.values():
            conn.close()


def _is_closed_by_server(conn: HTTPConnection) -> bool:
    """Return whether the server has closed an idle connection."""
    if conn.sock is None:
        return False
    return bool(select.select([conn.sock], [], [], 0.0)[0])
