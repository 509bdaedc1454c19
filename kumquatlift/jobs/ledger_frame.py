"""Messages about ledgers and jobs that entry processes exchange."""

from enum import IntEnum
from typing import NamedTuple

from kumquatlift._schema import load_schema
from kumquatlift.failure import Failure
from kumquatlift.jobs.claim import Record, RecordBatch
from kumquatlift.jobs.identity import LedgerId


class AppendStatus(IntEnum):
    """Result of an append to a replica."""

    TAKEN = 0
    """Accepted, apart from the records listed as refused."""
    NO_COPY = 1
    """The receiver has no replica of the ledger, or no longer has one."""
    FULL = 2
    """The receiver stores as many claims as its limit allows."""


class Append(NamedTuple):
    """A batch of records for a replica.

    Args:
        ledger: Text form of the ledger's identity.
        opens: The backup's incarnation when the batch opens the ledger, else empty.
        batch: The records to append.
    """

    ledger: str
    opens: str
    batch: RecordBatch

    def to_bytes(self, now: float) -> bytes:
        """Encode; deadlines are sent as remaining time, as monotonic clocks differ."""
        records = [
            {
                "key": record.key,
                "digest": record.digest,
                "remainingMs": _remaining_ms(record.deadline_at, now),
                "code": record.code,
                "answer": record.answer,
            }
            for record in self.batch.records
        ]
        frame = load_schema("jobs/ledger").Append.new_message(
            ledger=self.ledger, opens=self.opens, seal=self.batch.seal, records=records
        )
        return bytes(frame.to_bytes())

    @classmethod
    def from_bytes(cls, data: bytes, now: float) -> "Append":
        """Decode what ``to_bytes`` made."""
        with load_schema("jobs/ledger").Append.from_bytes(data) as frame:
            records = [
                Record(
                    row.key,
                    bytes(row.digest),
                    now + row.remainingMs / 1000,
                    row.code,
                    bytes(row.answer),
                )
                for row in frame.records
            ]
            return cls(frame.ledger, frame.opens, RecordBatch(records, frame.seal))


class AppendReply(NamedTuple):
    """Answer of a replica to a batch.

    Args:
        status: Result of the append.
        fenced: Whether the ledger is fenced.
        refused: Positions of records that were not accepted.
    """

    status: AppendStatus
    fenced: bool = False
    refused: frozenset[int] = frozenset()

    def to_bytes(self) -> bytes:
        """Encode for the writer."""
        frame = load_schema("jobs/ledger").AppendReply.new_message(
            status=int(self.status), fenced=self.fenced, refused=sorted(self.refused)
        )
        return bytes(frame.to_bytes())

    @classmethod
    def from_bytes(cls, data: bytes) -> "AppendReply":
        """Decode what ``to_bytes`` made."""
        with load_schema("jobs/ledger").AppendReply.from_bytes(data) as frame:
            return cls(AppendStatus(frame.status), frame.fenced, frozenset(frame.refused))


class ClaimLocation(NamedTuple):
    """Where an id is claimed: a ledger and the key in it."""

    ledger: LedgerId
    key: str


class Role(IntEnum):
    """Role in which a process receives a request about an id."""

    WRITER = 0
    BACKUP = 1


class RoutedRequest(NamedTuple):
    """A submission, query or cancellation of a job, sent to a process that can answer it.

    Args:
        job_id: Text form of the job's identity.
        location: Where the id is claimed, or would be.
        role: Role in which the receiver answers.
        digest: Checksum of the payload; empty when only the id is known.
        deadline_at: Monotonic seconds of this process.
        request: Encoded job of a submission; empty for other requests.
    """

    job_id: str
    location: ClaimLocation
    role: Role
    digest: bytes = b""
    deadline_at: float = 0.0
    request: bytes = b""

    def to_bytes(self, now: float) -> bytes:
        """Encode; the deadline is sent as remaining time, as monotonic clocks differ."""
        frame = load_schema("jobs/ledger").JobAsk.new_message(
            jobId=self.job_id,
            ledger=str(self.location.ledger),
            key=self.location.key,
            role=int(self.role),
            digest=self.digest,
            remainingMs=_remaining_ms(self.deadline_at, now),
            request=self.request,
        )
        return bytes(frame.to_bytes())

    @classmethod
    def from_bytes(cls, data: bytes, now: float) -> "RoutedRequest":
        """Decode what ``to_bytes`` made.

        Raises:
            ValueError: The ledger's identity is not valid.
        """
        with load_schema("jobs/ledger").JobAsk.from_bytes(data) as frame:
            return cls(
                frame.jobId,
                ClaimLocation(_ledger(frame.ledger), frame.key),
                Role(frame.role),
                bytes(frame.digest),
                now + frame.remainingMs / 1000,
                bytes(frame.request),
            )


class ReplyKind(IntEnum):
    """Content of a reply about a job."""

    ANSWER = 0
    ASK_BACKUP = 1
    """Only the backup of ``location`` can know."""
    NO_RECORD = 2


class JobResponse(NamedTuple):
    """Reply about a job.

    Args:
        kind: Content of the reply.
        job_id: Text form of the job's identity.
        digest: Checksum of the job's payload; empty when unknown.
        answer: Encoded answer; with ``ASK_BACKUP`` the one to use when the backup is lost as well.
        location: Where the id is claimed, for the request to the backup; only with ``ASK_BACKUP``.
    """

    kind: ReplyKind
    job_id: str
    digest: bytes = b""
    answer: bytes = b""
    location: ClaimLocation | None = None

    def to_bytes(self) -> bytes:
        """Encode for the process that sent the request."""
        frame = load_schema("jobs/ledger").JobResponse.new_message(
            kind=int(self.kind),
            jobId=self.job_id,
            digest=self.digest,
            answer=self.answer,
            ledger=str(self.location.ledger) if self.location else "",
            key=self.location.key if self.location else "",
        )
        return bytes(frame.to_bytes())

    @classmethod
    def from_bytes(cls, data: bytes) -> "JobResponse":
        """Decode what ``to_bytes`` made.

        Raises:
            ValueError: The ledger's identity is not valid.
        """
        with load_schema("jobs/ledger").JobResponse.from_bytes(data) as frame:
            location = ClaimLocation(_ledger(frame.ledger), frame.key) if frame.ledger else None
            return cls(
                ReplyKind(frame.kind),
                frame.jobId,
                bytes(frame.digest),
                bytes(frame.answer),
                location,
            )

    @classmethod
    def read(cls, body: bytes | Failure) -> "JobResponse | Failure":
        """Decode the result of a call; a failure is returned unchanged."""
        return body if isinstance(body, Failure) else cls.from_bytes(body)


def _ledger(text: str) -> LedgerId:
    ledger = LedgerId.parse(text)
    if isinstance(ledger, Failure):
        raise ValueError(ledger.reason)
    return ledger


def _remaining_ms(deadline_at: float, now: float) -> int:
    return round((deadline_at - now) * 1000)
