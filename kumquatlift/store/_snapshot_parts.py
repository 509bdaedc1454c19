"""Snapshots on their way between replicas, in parts."""

from kumquatlift.store._journal import Snapshot
from kumquatlift.store._messages import Message, MessageKind

# A part that is lost with its connection is sent again, so that it must not be the whole state.
SNAPSHOT_PART_BYTES = 1024 * 1024


def snapshot_part(base: Snapshot, at: int, *, term: int, sent_at: float) -> Message:
    """Return the message with the part of a snapshot that begins at a byte.

    Args:
        base: The snapshot.
        at: First byte of the part.
        term: Term of the leader.
        sent_at: Seconds of the leader's clock, which the answer repeats.
    """
    fields = {
        "index": base.position,
        "index_term": base.term,
        "voters": base.voters,
        "at": at,
        "is_last": at + SNAPSHOT_PART_BYTES >= len(base.state),
        "sent_at": sent_at,
    }
    part = base.state[at : at + SNAPSHOT_PART_BYTES]
    return Message(MessageKind.SNAPSHOT, term, fields, (), part)


class ArrivingSnapshot:
    """Parts of a snapshot that have arrived in order."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    def add(self, at: int, part: bytes) -> int:
        """Take a part if it continues what is here; the part at 0 begins anew.

        Returns:
            The number of bytes that are here.
        """
        if at == 0:
            self._parts = []
        have = sum(map(len, self._parts))
        if have == at:
            self._parts.append(part)
            have += len(part)
        return have

    def state(self) -> bytes:
        """Return what has arrived."""
        return b"".join(self._parts)
