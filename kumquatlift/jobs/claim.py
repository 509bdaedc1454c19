"""Claims of job ids as ledgers and their copies remember them."""

from collections import deque
from enum import Enum
from typing import NamedTuple


class LedgerLimits(NamedTuple):
    """Bounds of the ledgers of one process.

    Args:
        rotation_s: Age at which a ledger takes no new claims, in seconds.
        max_claims: Claims at which a ledger takes no new ones.
        retention_s: How long a closed ledger is remembered, in seconds.
        max_held: Claims held in own ledgers, and again in copies. At the bound no ledger is opened,
            so new work is refused until older ledgers expire.
        max_answer_bytes: Bytes of answers kept, for own ledgers and again for copies. Beyond it the
            oldest answers are dropped; their ids and codes stay.
    """

    rotation_s: float = 600.0
    max_claims: int = 100_000
    retention_s: float = 3600.0
    max_total_claims: int = 1_000_000
    max_answer_bytes: int = 64 * 1024 * 1024


class ClaimState(Enum):
    """How far a claim has come."""

    WAITING = "waiting"
    """Not yet acknowledged by the backup."""
    CLAIMED = "claimed"
    """Acknowledged; the writer may run the job."""
    UNKNOWN = "unknown"
    """Not acknowledged and never will be; the writer never runs the job."""
    ENDED = "ended"
    """The outcome is known."""
    ADOPTED = "adopted"
    """The backup claimed the id in a ledger of its own."""


class Record(NamedTuple):
    """A claim, an outcome, or both at once, as it travels to a replica.

    Args:
        key: Key within the ledger; the whole job id for an adopted job.
        digest: Checksum of the payload; empty for an id that was cancelled before it was used.
        deadline_at: Monotonic seconds of this process.
        code: Result code of the outcome; 0 while there is none.
        answer: Encoded answer of the outcome.
    """

    key: str
    digest: bytes
    deadline_at: float
    code: int = 0
    answer: bytes = b""


class Claim:
    """What a ledger or a copy remembers of one id."""

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
        """Return the record that gives a replica the same knowledge."""
        return Record(key, self.digest, self.deadline_at, self.code, self.answer or b"")


class AnswerBudget:
    """Drops the oldest kept answers when their bytes exceed a bound.

    Args:
        max_bytes: Bytes of answers kept.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self._claims: deque[Claim] = deque()

    def track(self, claim: Claim) -> None:
        """Count the answer of a claim."""
        self.used_bytes += len(claim.answer or b"")
        self._claims.append(claim)
        while self.used_bytes > self.max_bytes:
            self._drop(self._claims.popleft())

    def untrack(self, claims: set[Claim]) -> None:
        """Stop counting the answers of claims that expire together."""
        for claim in claims:
            self._drop(claim)
        self._claims = deque(claim for claim in self._claims if claim not in claims)

    def _drop(self, claim: Claim) -> None:
        self.used_bytes -= len(claim.answer or b"")
        claim.answer = None


class RecordBatch(NamedTuple):
    """Records that travel to the backup together."""

    records: list[Record]
    seal: bool


class IdStatus(Enum):
    """What a process can say about an id."""

    FREE = "free"
    """Not claimed; this process may claim it."""
    CLOSED = "closed"
    """Not claimed, and nobody ever will."""
    PENDING = "pending"
    """Claimed without an outcome yet."""
    ENDED = "ended"
    """The outcome is known."""
    ASK_BACKUP = "ask-backup"
    """Only the backup of the ledger can tell."""
    ADOPTED = "adopted"
    """Claimed in another ledger of this process."""
    LOST = "lost"
    """Claimed by a writer that cannot be asked, and the deadline has passed."""
    NO_RECORD = "no-record"
    """Nothing is remembered here; the work may have run."""
