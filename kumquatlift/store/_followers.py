"""Log replication from a leader to the other replicas."""

from collections.abc import Callable, Iterable
from zlib import crc32

from kumquatlift.log import get_logger
from kumquatlift.store._journal import Snapshot
from kumquatlift.store._log import Log
from kumquatlift.store._messages import Message, MessageKind
from kumquatlift.store._snapshot_chunks import OutgoingSnapshot
from kumquatlift.store._voters import ReplicaProgress

# Data of the entries in one message; a follower that is far behind gets several messages.
MAX_APPEND_BYTES = 512 * 1024
# Entries sent to a follower that it has not acknowledged yet.
MAX_IN_FLIGHT_ENTRIES = 2000


class Follower:
    """Replication state of one other replica, as the leader sees it.

    Args:
        next_index: Index of the first entry to send.
        now: Clock of the leader, in seconds.
    """

    __slots__ = (
        "acked_at",
        "can_vote",
        "last_contact_at",
        "match_index",
        "next_index",
        "sent_at",
        "transfer",
    )

    def __init__(self, *, next_index: int, now: float) -> None:
        self.next_index = next_index
        self.match_index = 0
        # Send time of the newest message that was answered; the leader lease counts from it.
        self.acked_at = 0.0
        self.sent_at = 0.0
        self.last_contact_at = now
        self.can_vote = False
        # The snapshot that is sent; None while entries are sent.
        self.transfer: OutgoingSnapshot | None = None


class Followers:
    """Sends the leader's log to the other replicas and tracks their progress, for one term.

    Args:
        names: The other voters.
        next_index: Index of the first entry to send.
        term: Term of the leader.
        term_start_index: Index of the entry that the leader appended when it was elected.
        log: The leader's log.
        send: Sends a message to a replica, without guarantee of delivery.
        now: Clock of the leader, in seconds.
        chunk_bytes: Size of the chunks of a snapshot.
    """

    def __init__(
        self,
        *,
        names: Iterable[str],
        next_index: int,
        term: int,
        term_start_index: int,
        log: Log,
        send: Callable[[str, Message], None],
        now: Callable[[], float],
        chunk_bytes: int,
    ) -> None:
        self._chunk_bytes = chunk_bytes
        # The snapshot that was sent last, and its checksum.
        self._summed_base: Snapshot | None = None
        self._checksum = 0
        self._term = term
        self._term_start_index = term_start_index
        self._log = log
        self._send = send
        self._now = now
        # Replicas that asked to join, with the time of the last request.
        self.joiners: dict[str, float] = {}
        self._followers = {name: Follower(next_index=next_index, now=now()) for name in names}

    def acked_at(self, name: str) -> float:
        """Return the send time of the newest message that a replica has answered.

        Returns:
            The time in seconds; 0 if there is none or the replica may not vote.
        """
        follower = self._followers.get(name)
        return follower.acked_at if follower is not None and follower.can_vote else 0.0

    def match_index(self, name: str) -> int:
        """Return the index up to which a replica has synced the leader's log.

        Returns:
            The index; 0 if the replica may not vote.
        """
        follower = self._followers.get(name)
        return follower.match_index if follower is not None and follower.can_vote else 0

    def progress_of(self, name: str) -> ReplicaProgress | None:
        """Return the progress of a replica; None for an unknown one."""
        follower = self._followers.get(name)
        if follower is None:
            return None
        return ReplicaProgress(follower.can_vote, follower.match_index, follower.last_contact_at)

    def most_up_to_date(self) -> str:
        """Return the replica that has acknowledged most of the log and may vote; empty for none."""
        candidates = [
            (each.match_index, name) for name, each in self._followers.items() if each.can_vote
        ]
        return max(candidates)[1] if candidates else ""

    def join(self, name: str, *, contact_timeout_s: float) -> None:
        """Record that a replica asks to receive the log and to become a voter.

        Args:
            name: The replica.
            contact_timeout_s: A replica that may not vote and has not answered for this long is
                treated as having lost its log.
        """
        now = self._now()
        self.joiners[name] = now
        follower = self._followers.get(name)
        if follower is None:
            self._followers[name] = Follower(next_index=self._log.last_index + 1, now=now)
        elif (
            follower.match_index
            and not follower.can_vote
            and follower.last_contact_at < now - contact_timeout_s
        ):
            follower.match_index = 0

    def send_new_entries(self, commit_index: int) -> None:
        """Send each follower the entries that were not sent to it yet."""
        for name, follower in self._followers.items():
            if follower.transfer is None and follower.next_index <= self._log.last_index:
                self._send_entries(name, follower, commit_index)

    def send_heartbeats(
        self, commit_index: int, *, period_s: float, contact_timeout_s: float
    ) -> None:
        """Send a heartbeat to each follower that has been sent nothing for one period.

        Args:
            commit_index: Index of the newest committed entry.
            period_s: Heartbeat period, in seconds.
            contact_timeout_s: After this long without an answer, in seconds, everything that is not
                acknowledged is sent again.
        """
        now = self._now()
        for name, follower in self._followers.items():
            if now - follower.sent_at < period_s:
                continue
            if now - follower.last_contact_at > contact_timeout_s:
                # What was sent since may have been lost with the connection.
                follower.next_index = follower.match_index + 1
                follower.transfer = None
            if follower.transfer is not None:
                self._send_snapshot_chunk(name, follower, follower.transfer)
            else:
                self._send_entries(name, follower, commit_index, is_heartbeat=True)

    def on_answer(self, name: str, message: Message, commit_index: int) -> None:
        """Handle the answer to entries or to a snapshot chunk."""
        follower = self._followers.get(name)
        if follower is None:
            return
        follower.last_contact_at = self._now()
        follower.acked_at = max(follower.acked_at, message.fields["sent_at"])
        follower.can_vote = message.fields["member"]
        if message.fields["ok"]:
            follower.match_index = max(follower.match_index, message.fields["match"])
            follower.next_index = max(follower.next_index, follower.match_index + 1)
        else:
            follower.next_index = max(1, min(follower.next_index - 1, message.fields["match"] + 1))
            # A replica that lost its disk has less than it has acknowledged before.
            follower.match_index = min(follower.match_index, follower.next_index - 1)
            if follower.transfer is None:
                self._send_entries(name, follower, commit_index, is_heartbeat=True)
        if follower.transfer is not None:
            self._continue_snapshot(name, follower, follower.transfer, message)

    def _send_entries(
        self, name: str, follower: Follower, commit_index: int, *, is_heartbeat: bool = False
    ) -> None:
        if follower.next_index <= self._log.base.last_included_index:
            get_logger().info("snapshot_sent", peer=name, index=self._log.base.last_included_index)
            follower.transfer = self._new_transfer()
            self._send_snapshot_chunk(name, follower, follower.transfer)
            return
        entries = self._log.entries_from(
            follower.next_index,
            max_entries=follower.match_index + MAX_IN_FLIGHT_ENTRIES - follower.next_index,
            max_bytes=MAX_APPEND_BYTES,
        )
        if not entries and not is_heartbeat:
            return
        follower.sent_at = self._now()
        fields = {
            "prev": follower.next_index - 1,
            "prev_term": self._log.term_at(follower.next_index - 1),
            "commit": commit_index,
            "sent_at": follower.sent_at,
            "own": self._term_start_index,
        }
        follower.next_index += len(entries)
        self._send(name, Message(MessageKind.APPEND, self._term, fields, entries))

    def _new_transfer(self) -> OutgoingSnapshot:
        # A replica that is down is sent the first chunk again and again.
        if self._summed_base is not self._log.base:
            self._summed_base = self._log.base
            self._checksum = crc32(self._log.base.state)
        return OutgoingSnapshot(
            base=self._log.base, checksum=self._checksum, chunk_bytes=self._chunk_bytes
        )

    def _send_snapshot_chunk(
        self, name: str, follower: Follower, transfer: OutgoingSnapshot
    ) -> None:
        follower.sent_at = self._now()
        self._send(name, transfer.chunk(term=self._term, sent_at=follower.sent_at))

    def _continue_snapshot(
        self, name: str, follower: Follower, transfer: OutgoingSnapshot, message: Message
    ) -> None:
        if follower.match_index >= transfer.base.last_included_index:
            # The log may have been compacted further meanwhile; another snapshot follows then.
            follower.transfer = None
        elif "have" in message.fields and transfer.advance(message):
            self._send_snapshot_chunk(name, follower, transfer)
