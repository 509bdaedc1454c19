"""Transfer of snapshots between replicas, in chunks."""

from kumquatlift.store._journal import Snapshot
from kumquatlift.store._messages import Message, MessageKind

# Only the chunk that is lost with a connection has to be sent again.
SNAPSHOT_CHUNK_BYTES = 1024 * 1024


def snapshot_chunk(base: Snapshot, offset: int, *, term: int, sent_at: float) -> Message:
    """Return the message with one chunk of a snapshot.

    Its fields ``index`` and ``index_term`` are those of the last entry in the snapshot; ``at`` is
    the offset of the chunk.

    Args:
        base: The snapshot.
        offset: Offset of the chunk's first byte.
        term: Term of the leader.
        sent_at: Reading of the leader's clock in seconds; the answer repeats it.
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
    """Chunks of a snapshot that were received in order."""

    def __init__(self) -> None:
        self._chunks: list[bytes] = []

    def add(self, offset: int, chunk: bytes) -> int:
        """Add a chunk if it follows the ones received; a chunk at offset 0 starts over.

        Returns:
            The number of bytes received in order.
        """
        if offset == 0:
            self._chunks = []
        received = sum(map(len, self._chunks))
        if received == offset:
            self._chunks.append(chunk)
            received += len(chunk)
        return received

    def state(self) -> bytes:
        """Return the bytes received."""
        return b"".join(self._chunks)
