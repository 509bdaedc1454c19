"""Per-peer state of a channel: send queue, current connection and counters."""

import threading
from typing import Any

from kumquatlift.transport._connection import Connection, Frame, SendQueue
from kumquatlift.transport.peer_diagnosis import ConnectOutcome, Evidence

MAX_PEERS = 256
# For this long after a failed attempt to connect, calls fail at once instead of waiting for
# another attempt, so that callers can try another peer.
CONNECT_RETRY_S = 0.25


class Link:
    """Send queue to a peer, the connection that it is written to, and counters.

    The queue outlasts a connection: frames that were not written go out on the next one.

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
        """Tell whether ``CONNECT_RETRY_S`` has passed since the last failed attempt, if any."""
        return self.connect_failed_at is None or now - self.connect_failed_at >= CONNECT_RETRY_S

    def record_connect_failure(
        self, connect_outcome: ConnectOutcome, reason: str, now: float
    ) -> None:
        """Record that an attempt to connect failed."""
        self.connect_outcome = connect_outcome
        self.error = reason
        self.connect_failed_at = self.connect_ended_at = now

    def record_connect_success(self, now: float) -> None:
        """Record that the peer sent its hello on a new connection."""
        self.connect_ended_at = now
        self.connect_outcome = ConnectOutcome.ANSWERED
        self.error = ""
        self.connect_failed_at = None
        self.connects += 1

    def evidence(self, now: float) -> Evidence:
        """Return what the connections show about the state of the peer."""
        return Evidence(
            connect=self.connect_outcome,
            connect_age_s=_age(self.connect_ended_at, now),
            call_timed_out_age_s=_age(self.call_timed_out_at, now),
            last_contact_age_s=_age(self.last_contact_at, now),
        )

    def snapshot(self, now: float) -> dict[str, Any]:
        """Return counters and ages for the state dump; ages are seconds, None for never."""
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
    """Bounded table of links; a full table evicts a link without connection or queued frames."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._links: dict[str, Link] = {}

    def find(self, peer: str) -> Link | None:
        """Return the link to a peer, if there is one."""
        return self._links.get(peer)

    def get(self, peer: str) -> Link | None:
        """Return the link to a peer, created if missing; None when the table is full."""
        link = self._links.get(peer)
        if link is not None:
            return link
        with self._lock:
            return self._get_locked(peer)

    def put(self, peer: str, frame: Frame) -> tuple[Link | None, bool]:
        """Append a frame to the send queue of a peer.

        The link cannot be evicted meanwhile, and not before the frame is written.

        Returns:
            The link, which is None when the table is full; and whether the frame was appended,
            which it isn't when the queue is full.
        """
        with self._lock:
            link = self._get_locked(peer)
            return link, link is not None and link.send_queue.put(frame)

    def snapshot(self, now: float) -> dict[str, Any]:
        """Return the counters of every link, by peer."""
        with self._lock:
            links = sorted(self._links.items())
        return {peer: link.snapshot(now) for peer, link in links}

    def _get_locked(self, peer: str) -> Link | None:
        link = self._links.get(peer)
        if link is None:
            if len(self._links) >= MAX_PEERS and not self._remove_unused():
                return None
            link = self._links[peer] = Link(peer=peer)
        return link

    def _remove_unused(self) -> bool:
        """Remove one link without connection or queued frames; return whether there was one."""
        for peer, link in self._links.items():
            if link.conn is None and not link.send_queue:
                del self._links[peer]
                return True
        return False


def _age(at: float | None, now: float) -> float | None:
    return None if at is None else round(now - at, 3)
