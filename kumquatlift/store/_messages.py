"""Messages between replicas, and their encoding."""

import json
from enum import StrEnum
from typing import Any, NamedTuple


class Entry(NamedTuple):
    """One entry of the log.

    Args:
        term: Term of the leader that appended it.
        data: Command; empty for a change of voters and for the entry that a new leader appends.
        voters: New voters, for an entry that changes them.
    """

    term: int
    data: bytes = b""
    voters: tuple[str, ...] | None = None


class MessageKind(StrEnum):
    """Kind of a message between replicas, and the fields that it has besides kind and term."""

    PRE_VOTE = "pre-vote"
    """A replica asks whether it would get a vote; the fields are those of ``VOTE``."""
    VOTE = "vote"
    """A candidate asks for a vote.

    ``last`` and ``last_term`` are index and term of its last entry. With ``forced``, the receiver
    answers although it has contact with a leader.
    """
    VOTE_ANSWER = "vote-answer"
    """``for`` and ``pre`` repeat the term of the request and whether it was a pre-vote.

    ``granted`` is the vote, and ``quiet_s`` the seconds since the voter's last contact with a
    leader.
    """
    APPEND = "append"
    """A leader sends entries, or none as a heartbeat.

    ``prev`` and ``prev_term`` are index and term of the entry before them, ``commit`` is the commit
    index, ``own`` the index of the first entry of the leader's term, and ``sent_at`` the leader's
    clock in seconds.
    """
    APPEND_ANSWER = "append-answer"
    """Answer to ``APPEND`` and ``SNAPSHOT``.

    With ``ok``, the log matches the leader's up to ``match``; otherwise ``match`` is the last index
    at which it may match. ``sent_at`` is that of the message, ``member`` tells whether the replica
    may vote. In the answer to a chunk, ``snapshot`` names index and term of the snapshot's last
    entry, and ``have`` is the number of its bytes received in order.
    """
    SNAPSHOT = "snapshot"
    """A leader sends one chunk of its snapshot; see ``OutgoingSnapshot.chunk`` for the fields."""
    STATUS = "status"
    """A replica without state asks the others for their terms and voters."""
    STATUS_ANSWER = "status-answer"
    """``member`` tells whether the replica may vote, and ``voters`` names the voters it knows."""
    JOIN = "join"
    """A replica that is not among the voters, or may not vote, asks for the log."""
    TAKE_OVER = "take-over"
    """A leader that shuts down asks a follower to start an election at once (``TimeoutNow``)."""


class Message(NamedTuple):
    """A message between replicas.

    Args:
        kind: Kind of the message.
        term: Term of the sender.
        fields: JSON values, which depend on the kind.
        entries: Entries of an ``APPEND``.
        blob: Chunk of the state of a ``SNAPSHOT``.
    """

    kind: MessageKind
    term: int
    fields: dict[str, Any] = {}
    entries: tuple[Entry, ...] = ()
    blob: bytes = b""

    def to_bytes(self) -> bytes:
        """Encode as one line of JSON followed by the entries' data and the blob."""
        head = {"kind": self.kind, "term": self.term, **self.fields}
        if self.entries:
            head["entries"] = [
                (entry.term, len(entry.data), entry.voters) for entry in self.entries
            ]
        parts = [json.dumps(head).encode(), b"\n", *(entry.data for entry in self.entries)]
        return b"".join([*parts, self.blob])

    @classmethod
    def from_bytes(cls, data: bytes) -> "Message":
        """Decode a message.

        Raises:
            ValueError: The bytes are not a message, or their JSON is malformed.
            KeyError: A field is missing.
        """
        line, _, rest = data.partition(b"\n")
        head = json.loads(line)
        kind, term = MessageKind(head.pop("kind")), int(head.pop("term"))
        entries: list[Entry] = []
        at = 0
        for entry_term, length, voters in head.pop("entries", ()):
            command = rest[at : at + length]
            if len(command) != length:
                raise ValueError("the message ends within an entry")
            at += length
            entries.append(Entry(entry_term, command, None if voters is None else tuple(voters)))
        return cls(kind, term, head, tuple(entries), rest[at:])
