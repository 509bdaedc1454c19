"""What a process keeps of its connections to its peers."""

import threading
from typing import Any

from kumquatlift.transport._connection import Connection, Outbox
from kumquatlift.transport.peer_diagnosis import ConnectOutcome, Evidence

MAX_PEERS = 256
# Callers that can use another peer are told at once while a failed attempt is this young.
RETRY_S = 0.25


class Link:
    """The queue to a peer, the connection that empties it, and counters.

    The queue outlives connections: frames that were never written go out on the next one.

    Args:
        peer: Name of the peer.
    """

    def __init__(self, *, peer: str) -> None:
        self.peer = peer
        self.outbox = Outbox()
        self.conn: Connection | None = None
        self.outcome = ConnectOutcome.NONE
        self.failed_at: float | None = None
        self.ended_at: float | None = None
        self.heard_at: float | None = None
        self.call_timed_out_at: float | None = None
        self.error = ""
        self.sent = 0
        self.received = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.connects = 0

    def may_connect(self, now: float) -> bool:
        """Tell whether enough time has passed since the last failed attempt."""
        return self.failed_at is None or now - self.failed_at >= RETRY_S

    def note_failed(self, outcome: ConnectOutcome, reason: str, now: float) -> None:
        """Record an attempt to connect that failed."""
        self.outcome = outcome
        self.error = reason
        self.failed_at = self.ended_at = now

    def note_answered(self, now: float) -> None:
        """Record that the peer answered on a new connection."""
        self.ended_at = now
        self.outcome = ConnectOutcome.ANSWERED
        self.error = ""
        self.failed_at = None
        self.connects += 1

    def evidence(self, now: float) -> Evidence:
        """Return what the connections tell of the peer."""
        return Evidence(
            connect=self.outcome,
            connect_age_s=_age(self.ended_at, now),
            call_timed_out_age_s=_age(self.call_timed_out_at, now),
            answered_age_s=_age(self.heard_at, now),
        )

    def snapshot(self, now: float) -> dict[str, Any]:
        """Return the counters; ages are in seconds, and None when it never happened."""
        return {
            "connection": self.conn.phase.name.lower() if self.conn else "none",
            "connect": self.outcome.value,
            "error": self.error,
            "sent": self.sent,
            "received": self.received,
            "bytes_sent": self.bytes_sent,
            "bytes_received": self.bytes_received,
            "reconnects": max(0, self.connects - 1),
            "last_heard_s": _age(self.heard_at, now),
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
            if link.conn is None and not link.outbox:
                del self._links[peer]
                return True
        return False


def _age(at: float | None, now: float) -> float | None:
    return None if at is None else round(now - at, 3)
