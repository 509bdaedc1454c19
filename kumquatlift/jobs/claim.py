"""Claims of job ids, as ledgers and their replicas store them."""

from collections import deque
from enum import Enum
from typing import NamedTuple


class LedgerLimits(NamedTuple):
    """Limits of the ledgers of one process.

    Args:
        rotation_s: Age at which a ledger is replaced by a new one, in seconds.
        max_claims: Number of claims at which a ledger is replaced by a new one.
        retention_s: How long a closed ledger is kept, in seconds.
        max_total_claims: Claims stored in the process's own ledgers, and as many again in replicas.
            At the limit no ledger is opened, so new work is refused until older ledgers expire.
        max_answer_bytes: Bytes of answers stored for the process's own ledgers, and as many again
            for replicas. Beyond it the oldest answers are dropped; their ids and codes stay.
    """

    rotation_s: float = 600.0
    max_claims: int = 100_000
    retention_s: float = 3600.0
    max_total_claims: int = 1_000_000
    max_answer_bytes: int = 64 * 1024 * 1024


class ClaimState(Enum):
    """Progress of a claim."""

    WAITING = "waiting"
    """Not yet acknowledged by the backup."""
    CLAIMED = "claimed"
    """Acknowledged; the writer may run the job."""
    UNKNOWN = "unknown"
    """Refused by the backup, or not acknowledged in time; the writer never runs the job."""
    ENDED = "ended"
    """The outcome is known."""
    ADOPTED = "adopted"
    """The backup has claimed the id in a ledger of its own."""


class Record(NamedTuple):
    """A claim, an outcome, or both, as sent to a replica.

    Args:
        key: Key within the ledger; the whole job id for an adopted job.
        digest: Checksum of the payload; empty for an id that was cancelled before it was submitted.
        deadline_at: Monotonic seconds of this process.
        code: Result code of the outcome; 0 before there is one.
        answer: Encoded answer of the outcome.
    """

    key: str
    digest: bytes
    deadline_at: float
    code: int = 0
    answer: bytes = b""


class Claim:
    """What a ledger or a replica stores about one id."""

    __slots__ = ("answer", "code", "deadline_at", "digest", "state")

    def __init__(self, digest: bytes, deadline_at: float, state: ClaimState) -> None:
        self.digest = digest
        self.deadline_at = deadline_at
        self.state = state
        self.code = 0
        self.answer: bytes | None = None

    def end(self, code: int, answer: bytes) -> None:
        """Store the outcome."""
        self.state, self.code, self.answer = ClaimState.ENDED, code, answer

    def record(self, key: str) -> Record:
        """Return the record that copies this claim to a replica."""
        return Record(key, self.digest, self.deadline_at, self.code, self.answer or b"")


class AnswerBudget:
    """Drops the oldest stored answers when their total size exceeds a limit.

    Args:
        max_bytes: Limit on the total size of the stored answers.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self._claims: deque[Claim] = deque()

    def track(self, claim: Claim) -> None:
        """Count the answer of a claim, and drop the oldest answers beyond the limit."""
        self.used_bytes += len(claim.answer or b"")
        self._claims.append(claim)
        while self.used_bytes > self.max_bytes:
            self._drop(self._claims.popleft())

    def untrack(self, claims: set[Claim]) -> None:
        """Drop the answers of claims that expire together, and stop counting them."""
        for claim in claims:
            self._drop(claim)
        self._claims = deque(claim for claim in self._claims if claim not in claims)

    def _drop(self, claim: Claim) -> None:
        self.used_bytes -= len(claim.answer or b"")
        claim.answer = None


class RecordBatch(NamedTuple):
    """Records that are sent to a replica together.

    Args:
        records: Records in the order in which they were written.
        seal: Whether the writer claims no further ids in the ledger after these records.
    """

    records: list[Record]
    seal: bool


class IdStatus(Enum):
    """What a process knows about an id."""

    FREE = "free"
    """Not claimed; this process may claim it."""
    CLOSED = "closed"
    """Not claimed, and no process ever will."""
    PENDING = "pending"
    """Claimed without an outcome yet."""
    ENDED = "ended"
    """The outcome is known."""
    ASK_BACKUP = "ask-backup"
    """Only the backup of the ledger can know."""
    ADOPTED = "adopted"
    """Claimed in another ledger of this process."""
    LOST = "lost"
    """Claimed by a writer that has reported no outcome, and the deadline has passed."""
    NO_RECORD = "no-record"
    """Nothing is known here; the job may have run."""
