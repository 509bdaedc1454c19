"""What a process keeps of its connections to its peers."""

import threading
from typing import Any

from kumquatlift.transport._connection import Connection, SendQueue
from kumquatlift.transport.peer_diagnosis import ConnectOutcome, Evidence

MAX_PEERS = 256
# Callers that can use another peer are told at once while a failed attempt is this young.
CONNECT_RETRY_S = 0.25


class Link:
    """The queue to a peer, the connection that empties it, and counters.

    The queue outlives connections: frames that were never written go out on the next one.

    Args:
        peer: Name of the peer.
    """

    def __init__(self, *, peer: str) -> None:
        self.peer = peer
        self.send_queue = SendQueue()
        self.conn: Connection | None = None
        self.connect_outcome = ConnectOutcome.NONE
        self.connect_failed_at: float | None = None
        self.connect_ended_at: float | None = None
        self.last_contact_at: float | None = None
        self.call_timed_out_at: float | None = None
        self.error = ""
        self.sent = 0
        self.received = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.connects = 0

    def may_connect(self, now: float) -> bool:
        """Tell whether enough time has passed since the last failed attempt."""
        return self.connect_failed_at is None or now - self.connect_failed_at >= CONNECT_RETRY_S

    def record_connect_failure(
        self, connect_outcome: ConnectOutcome, reason: str, now: float
    ) -> None:
        """Record an attempt to connect that failed."""
        self.connect_outcome = connect_outcome
        self.error = reason
        self.connect_failed_at = self.connect_ended_at = now

    def record_connect_success(self, now: float) -> None:
        """Record that the peer answered on a new connection."""
        self.connect_ended_at = now
        self.connect_outcome = ConnectOutcome.ANSWERED
        self.error = ""
        self.connect_failed_at = None
        self.connects += 1

    def evidence(self, now: float) -> Evidence:
        """Return what the connections tell of the peer."""
        return Evidence(
            connect=self.connect_outcome,
            connect_age_s=_age(self.connect_ended_at, now),
            call_timed_out_age_s=_age(self.call_timed_out_at, now),
            last_contact_age_s=_age(self.last_contact_at, now),
        )

    def snapshot(self, now: float) -> dict[str, Any]:
        """Return the counters; ages are in seconds, and None when it never happened."""
        return {
            "connection": self.conn.phase.name.lower() if self.conn else "none",
            "connect": self.connect_outcome.value,
            "error": self.error,
            "sent": self.sent,
            "received": self.received,
            "bytes_sent": self.bytes_sent,
            "bytes_received": self.bytes_received,
            "reconnects": max(0, self.connects - 1),
            "last_heard_s": _age(self.last_contact_at, now),
            "call_timed_out_s": _age(self.call_timed_out_at, now),
        }


class Links:
    """Bounded table of links; a link without connection and queue makes room for another."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._links: dict[str, Link] = {}

    def find(self, peer: str) -> Link | None:
        """Return the link to a peer, if there is one."""
        return self._links.get(peer)

    def get(self, peer: str) -> Link | None:
        """Return the link to a peer, made when needed; None when the table is full."""
        link = self._links.get(peer)
        if link is not None:
            return link
        with self._lock:
            if len(self._links) >= MAX_PEERS and not self._remove_unused():
                return None
            return self._links.setdefault(peer, Link(peer=peer))

    def snapshot(self, now: float) -> dict[str, Any]:
        """Return the counters of every link, by peer."""
        with self._lock:
            links = sorted(self._links.items())
        return {peer: link.snapshot(now) for peer, link in links}

    def _remove_unused(self) -> bool:
        for peer, link in self._links.items():
            if link.conn is None and not link.send_queue:
                del self._links[peer]
                return True
        return False


def _age(at: float | None, now: float) -> float | None:
    return None if at is None else round(now - at, 3)
