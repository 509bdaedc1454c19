"""Snapshots on their way between replicas, in parts."""

from kumquatlift.store._journal import Snapshot
from kumquatlift.store._messages import Message, MessageKind

# A part that is lost with its connection is sent again, so that it must not be the whole state.
SNAPSHOT_CHUNK_BYTES = 1024 * 1024


def snapshot_chunk(base: Snapshot, offset: int, *, term: int, sent_at: float) -> Message:
    """Return the message with the part of a snapshot that begins at a byte.

    Args:
        base: The snapshot.
        offset: First byte of the part.
        term: Term of the leader.
        sent_at: Seconds of the leader's clock, which the answer repeats.
    """
    fields = {
        "index": base.last_included_index,
        "index_term": base.term,
        "voters": base.voters,
        "at": offset,
        "is_last": offset + SNAPSHOT_CHUNK_BYTES >= len(base.state),
        "sent_at": sent_at,
    }
    chunk = base.state[offset : offset + SNAPSHOT_CHUNK_BYTES]
    return Message(MessageKind.SNAPSHOT, term, fields, (), chunk)


class IncomingSnapshot:
    """Parts of a snapshot that have arrived in order."""

    def __init__(self) -> None:
        self._chunks: list[bytes] = []

    def add(self, offset: int, chunk: bytes) -> int:
        """Take a part if it continues what is here; the part at 0 begins anew.

        Returns:
            The number of bytes that are here.
        """
        if offset == 0:
            self._chunks = []
        received = sum(map(len, self._chunks))
        if received == offset:
            self._chunks.append(chunk)
            received += len(chunk)
        return received

    def state(self) -> bytes:
        """Return what has arrived."""
        return b"".join(self._chunks)
