"""Messages between replicas, and their bytes on the channel."""

import json
from enum import StrEnum
from typing import Any, NamedTuple


class Entry(NamedTuple):
    """One entry of the log.

    Args:
        term: Term of the leader that made it.
        data: Command; empty for the entry that a new leader adds, or a change of voters.
        voters: New voters, for an entry that changes them.
    """

    term: int
    data: bytes = b""
    voters: tuple[str, ...] | None = None


class MessageKind(StrEnum):
    """What a message between replicas is."""

    PRE_VOTE = "pre-vote"
    VOTE = "vote"
    VOTE_ANSWER = "vote-answer"
    APPEND = "append"
    APPEND_ANSWER = "append-answer"
    SNAPSHOT = "snapshot"
    STATUS = "status"
    """A replica without state asks for the term of the others."""
    STATUS_ANSWER = "status-answer"
    JOIN = "join"
    """A replica that is not among the voters asks to become one."""
    TAKE_OVER = "take-over"
    """A leader that leaves asks a follower to start an election at once."""


class Message(NamedTuple):
    """A message between replicas.

    Args:
        kind: What it is.
        term: Term of the sender.
        fields: Plain values, by kind.
        entries: Entries of an ``APPEND``.
        blob: Part of the state of a ``SNAPSHOT``.
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
            ValueError: The bytes are not a message; also as its subclass for JSON.
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
                raise ValueError("the entries of the message are cut short")
            at += length
            entries.append(Entry(entry_term, command, None if voters is None else tuple(voters)))
        return cls(kind, term, head, tuple(entries), rest[at:])
