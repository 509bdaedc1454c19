"""Transfer of one snapshot between replicas, in chunks."""

from typing import Any, NamedTuple
from zlib import crc32

from kumquatlift.store._journal import Snapshot
from kumquatlift.store._messages import Message, MessageKind

# Only the chunk that is lost with a connection has to be sent again.
SNAPSHOT_CHUNK_BYTES = 1024 * 1024


class OutgoingSnapshot:
    """Transfer of one snapshot to one follower.

    The snapshot stays the same until the transfer ends, also when the leader has taken a newer one.

    Args:
        base: The snapshot.
        checksum: CRC-32 of its state.
        chunk_bytes: Size of a chunk.
    """

    __slots__ = ("_checksum", "_chunk_bytes", "base", "chunk_sent_at", "offset", "started_at")

    def __init__(self, *, base: Snapshot, checksum: int, chunk_bytes: int) -> None:
        self.base = base
        # Offset of the chunk to send.
        self.offset = 0
        # Send times of the first and of the newest chunk, by the leader's clock; None before.
        self.started_at: float | None = None
        self.chunk_sent_at = 0.0
        self._chunk_bytes = chunk_bytes
        self._checksum = checksum

    def chunk(self, *, term: int, sent_at: float) -> Message:
        """Return the message with the next chunk.

        Its fields ``index`` and ``index_term`` are those of the last entry in the snapshot, ``at``
        is the offset of the chunk, and ``size`` and ``crc`` are the length and the CRC-32 of the
        whole state. Versions before those two fields ignore them.

        Args:
            term: Term of the leader.
            sent_at: Reading of the leader's clock in seconds; the answer repeats it.
        """
        if self.started_at is None:
            self.started_at = sent_at
        self.chunk_sent_at = sent_at
        end = self.offset + self._chunk_bytes
        fields = {
            "index": self.base.last_included_index,
            "index_term": self.base.term,
            "voters": self.base.voters,
            "at": self.offset,
            "is_last": end >= len(self.base.state),
            "size": len(self.base.state),
            "crc": self._checksum,
            "sent_at": sent_at,
        }
        return Message(MessageKind.SNAPSHOT, term, fields, (), self.base.state[self.offset : end])

    def advance(self, answer: Message) -> bool:
        """Continue after the bytes that an answer counts; return whether a chunk is due at once.

        Answers of an earlier transfer are ignored, and so are late ones that bring nothing new, as
        each would cause one more copy of the remaining chunks.
        """
        fields = answer.fields
        sent_at, have = fields["sent_at"], fields["have"]
        named = fields.get("snapshot", [self.base.last_included_index, self.base.term])
        is_of_this = list(named) == [self.base.last_included_index, self.base.term]
        if not is_of_this or self.started_at is None or sent_at < self.started_at:
            return False
        if not self.offset < have <= len(self.base.state) and sent_at < self.chunk_sent_at:
            return False
        self.offset = min(have, len(self.base.state))
        return True


class ChunkKey(NamedTuple):
    """What the chunks of one transfer have in common.

    Args:
        sender: The leader.
        leader_term: Term of the leader.
        last_included_index: Index of the last entry in the snapshot.
        index_term: Term of that entry.
        size: Length of the whole state in bytes; None from versions that don't tell it.
        checksum: CRC-32 of the whole state; None from versions that don't tell it.
    """

    sender: str
    leader_term: int
    last_included_index: int
    index_term: int
    size: int | None
    checksum: int | None

    @classmethod
    def of(cls, sender: str, message: Message) -> "ChunkKey":
        """Return the key of a message with a chunk."""
        fields: dict[str, Any] = message.fields
        return cls(
            sender,
            message.term,
            fields["index"],
            fields["index_term"],
            fields.get("size"),
            fields.get("crc"),
        )


class IncomingSnapshot:
    """Chunks of one snapshot that were received in order."""

    def __init__(self) -> None:
        self._key: ChunkKey | None = None
        self._chunks: list[bytes] = []

    def add(self, key: ChunkKey, offset: int, chunk: bytes) -> int:
        """Add a chunk if it follows the ones received.

        A chunk of another snapshot, or one at offset 0, starts over.

        Returns:
            The number of bytes of this snapshot received in order.
        """
        if offset == 0 or key != self._key:
            self.clear()
            self._key = key
        received = sum(map(len, self._chunks))
        if received == offset:
            self._chunks.append(chunk)
            received += len(chunk)
        return received

    def state(self) -> bytes:
        """Return the bytes received.

        Raises:
            ValueError: They are not the whole state that the leader sends.
        """
        state = b"".join(self._chunks)
        size = self._key.size if self._key else None
        checksum = self._key.checksum if self._key else None
        if size is not None and size != len(state):
            raise ValueError(f"{len(state)} bytes in place of {size}")
        if checksum is not None and checksum != crc32(state):
            raise ValueError("bad checksum")
        return state

    def clear(self) -> None:
        """Drop the chunks."""
        self._key = None
        self._chunks = []
