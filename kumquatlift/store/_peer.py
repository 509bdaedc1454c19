"""What a leader knows of another replica."""


class Peer:
    """What a leader knows of another replica."""

    __slots__ = ("acked_at", "heard_at", "is_member", "match", "next", "sent_at", "snapshot_at")

    def __init__(self, *, next_index: int, now: float) -> None:
        self.next = next_index
        self.match = 0
        # Send time of the newest message that was answered; leases count from it.
        self.acked_at = 0.0
        self.sent_at = 0.0
        self.heard_at = now
        self.is_member = False
        # Bytes of the snapshot sent so far; None while entries are sent.
        self.snapshot_at: int | None = None
