"""Client with which a runner announces itself to the entry processes."""

import http.client
import json
import threading
from collections.abc import Callable
from typing import Any

from kumquatlift.codes import ResultCode
from kumquatlift.log import get_logger

FIRST_RENEW_MS = 500
# Less than half of the 2 s without an announcement after which an owner drops a runner, so that a
# second entry process can be tried within them.
ANSWER_TIMEOUT_S = 0.8


class Announcer:
    """Announces a runner periodically to one of several entry processes.

    Args:
        entries: Addresses for announcements, each "ip:port". When one doesn't answer, the next one
            is used.
        announcement: Returns the fields of the next announcement, without the owner.
    """

    def __init__(
        self, *, entries: tuple[str, ...], announcement: Callable[[], dict[str, Any]]
    ) -> None:
        self._entries = entries
        self._announcement = announcement
        self._entry_index = 0
        self._conn: http.client.HTTPConnection | None = None
        self._wake = threading.Event()
        self._is_stopped = False
        self.owner = ""
        self.answers = 0

    def run(self) -> None:
        """Announce periodically until ``stop`` is called."""
        while self._entries and not self._is_stopped:
            self._wake.clear()
            renew_ms = self._announce()
            self._wake.wait(renew_ms / 1000)

    def announce_now(self) -> None:
        """Send the next announcement without waiting for the interval to pass."""
        self._wake.set()

    def stop(self) -> None:
        """Make ``run`` return."""
        self._is_stopped = True
        self._wake.set()

    def _announce(self) -> int:
        """Try each entry process once, and return the time until the next announcement in ms."""
        for _ in self._entries:
            answer = self._post({**self._announcement(), "owner": self.owner})
            if answer is not None:
                self.answers += 1
                # An answer without an owner doesn't end the ownership of the previous one, so that
                # one is still echoed.
                self.owner = str(answer.get("owner") or self.owner)
                if answer.get("code") != ResultCode.RUNNER_ACCEPTED:
                    get_logger().warning("announcement_refused", answer=answer)
                    # This entry process may be partitioned from the owner; another may reach it.
                    self._entry_index = (self._entry_index + 1) % len(self._entries)
                return int(answer.get("renew_ms") or FIRST_RENEW_MS)
            self._drop_connection()
            self._entry_index = (self._entry_index + 1) % len(self._entries)
        return FIRST_RENEW_MS

    def _post(self, fields: dict[str, Any]) -> dict[str, Any] | None:
        try:
            if self._conn is None:
                entry = self._entries[self._entry_index]
                self._conn = http.client.HTTPConnection(entry, timeout=ANSWER_TIMEOUT_S)
            body = json.dumps(fields).encode()
            headers = {"Content-Type": "application/json"}
            self._conn.request("POST", "/v1/announcements", body, headers)
            res = self._conn.getresponse()
            answer = json.loads(res.read())
        except (OSError, http.client.HTTPException, ValueError):
            return None
        return answer if isinstance(answer, dict) else None

    def _drop_connection(self) -> None:
        if self._conn is not None:
            self._conn.close()
            self._conn = None
