"""Numbered result codes that callers, runners and operators see."""

from enum import Enum, IntEnum
from typing import NamedTuple


class Ran(Enum):
    """Whether the work behind an answer ran."""

    YES = "yes"
    NO = "no"
    MAYBE = "maybe"


class Resubmit(Enum):
    """What a client may do next with a request that got a code."""

    NEVER = "never"
    """The answer is final."""
    SAME_ID = "same-id"
    """Ask again with the same job id; a second start is impossible."""
    NEW_ID = "new-id"
    """The id is used up; the work did not run, so a new id is safe."""
    NEW_ID_IF_SOLE = "new-id-if-sole"
    """A new id is safe if this id was sent to no other entry process; else ask with the same id."""
    CORRECTED = "corrected"
    """The request itself has to change first."""


class ResultCode(IntEnum):
    """Numbered outcome of a request; ``docs/result-codes.md`` lists the same numbers."""

    COMPLETE = 1000
    PENDING = 1001
    CANCELLED_BEFORE_START = 1002
    ACCEPTED = 1003

    MALFORMED = 2001
    TOO_LARGE = 2002
    UNKNOWN_SERVICE = 2003
    UNKNOWN_KIND = 2004
    DUPLICATE_TASK_ID = 2005
    NEVER_FITS = 2006
    BAD_JOB_ID = 2007
    ID_REUSED = 2008
    UNKNOWN_TEAM = 2009
    NOT_FOUND = 2010

    OVERLOADED = 3001
    OVER_QUOTA = 3002
    LEAVING = 3003
    DEADLINE_UNREACHABLE = 3004
    NO_RUNNER = 3005
    LEDGER_CLOSED = 3006
    RETRY_BUDGET_EMPTY = 3007
    NOT_DELIVERED = 3008

    TASK_FAILED = 4001
    DEADLINE_PASSED = 4002
    CANCELLED_AFTER_START = 4003
    ATTEMPT_UNKNOWN = 4004
    OWNER_LOST = 4005
    RECORD_LOST = 4006
    BAD_RUNNER_ANSWER = 4007
    PARTLY_RUN = 4008

    OWNER_UNREACHABLE = 5001
    CLAIM_UNKNOWN = 5002
    TIMED_OUT = 5003
    CLAIM_UNCONFIRMED = 5004
    NOT_LEADER = 5005

    APPLIED = 6000
    INVALID_DOCUMENT = 6001
    VERSION_CONFLICT = 6002
    UNAUTHORIZED = 6004
    CHANGE_UNKNOWN = 6005
    CHANGE_ID_REUSED = 6006

    RUNNER_ACCEPTED = 7000
    RUNNER_MALFORMED = 7001
    RUNNER_REFUSED = 7002

    @property
    def label(self) -> str:
        """Lower-case name with hyphens, as logs and answers show it."""
        return self.name.lower().replace("_", "-")

    @property
    def ran(self) -> Ran:
        """Whether the work ran when this code is the answer."""
        return _MEANINGS[self].ran

    @property
    def resubmit(self) -> Resubmit:
        """What the client may do next."""
        return _MEANINGS[self].resubmit

    @property
    def http_status(self) -> int:
        """HTTP status that carries this code."""
        return _MEANINGS[self].http_status

    @property
    def help(self) -> str:
        """One line for the table in the docs."""
        return _MEANINGS[self].help


class _Meaning(NamedTuple):
    ran: Ran
    resubmit: Resubmit
    http_status: int
    help: str


_NEVER, _SAME, _NEW, _FIX = Resubmit.NEVER, Resubmit.SAME_ID, Resubmit.NEW_ID, Resubmit.CORRECTED
_C = ResultCode
_MEANINGS: dict[ResultCode, _Meaning] = {
    _C.COMPLETE: _Meaning(Ran.YES, _NEVER, 200, "every task has a result"),
    _C.PENDING: _Meaning(Ran.MAYBE, _SAME, 202, "the job is accepted and not finished"),
    _C.CANCELLED_BEFORE_START: _Meaning(Ran.NO, _NEVER, 409, "cancelled; no task had started"),
    _C.ACCEPTED: _Meaning(Ran.NO, _SAME, 200, "a ticket or an administrative call was accepted"),
    _C.MALFORMED: _Meaning(Ran.NO, _FIX, 400, "the request is not valid"),
    _C.TOO_LARGE: _Meaning(Ran.NO, _FIX, 413, "the request or a task is over a size limit"),
    _C.UNKNOWN_SERVICE: _Meaning(Ran.NO, _FIX, 404, "the service is not configured"),
    _C.UNKNOWN_KIND: _Meaning(Ran.NO, _FIX, 404, "the request kind is not configured"),
    _C.DUPLICATE_TASK_ID: _Meaning(Ran.NO, _FIX, 400, "two tasks of the job share an id"),
    _C.NEVER_FITS: _Meaning(Ran.NO, _FIX, 422, "the job can never run under the configuration"),
    _C.BAD_JOB_ID: _Meaning(Ran.NO, _FIX, 400, "the job id does not have the form ledger.key"),
    _C.ID_REUSED: _Meaning(Ran.NO, _FIX, 409, "the id belongs to a job with another payload"),
    _C.UNKNOWN_TEAM: _Meaning(Ran.NO, _FIX, 404, "the team is not configured"),
    _C.NOT_FOUND: _Meaning(Ran.NO, _FIX, 404, "nothing is known under this path or id"),
    _C.OVERLOADED: _Meaning(Ran.NO, _NEW, 503, "the queue is full; come back later"),
    _C.OVER_QUOTA: _Meaning(Ran.NO, _NEW, 429, "the team is over its quota; come back later"),
    _C.LEAVING: _Meaning(Ran.NO, _NEW, 503, "the entry process is shutting down; use another"),
    _C.DEADLINE_UNREACHABLE: _Meaning(Ran.NO, _NEW, 503, "the deadline cannot be met now"),
    _C.NO_RUNNER: _Meaning(Ran.NO, _NEW, 503, "no runner of the service is available"),
    _C.LEDGER_CLOSED: _Meaning(Ran.NO, _NEW, 409, "the ledger takes no new ids; get a new ticket"),
    _C.RETRY_BUDGET_EMPTY: _Meaning(Ran.NO, _NEW, 503, "a refused task had no retries left"),
    _C.NOT_DELIVERED: _Meaning(Ran.NO, _NEW, 503, "the request never reached a runner"),
    _C.TASK_FAILED: _Meaning(Ran.YES, _NEVER, 502, "a runner ran a task and reported a failure"),
    _C.DEADLINE_PASSED: _Meaning(Ran.MAYBE, _NEVER, 504, "the deadline passed before the end"),
    _C.CANCELLED_AFTER_START: _Meaning(Ran.MAYBE, _NEVER, 409, "cancelled after a task started"),
    _C.ATTEMPT_UNKNOWN: _Meaning(Ran.MAYBE, _NEVER, 502, "a runner was lost during a task"),
    _C.OWNER_LOST: _Meaning(Ran.MAYBE, _NEVER, 502, "the entry process running the job was lost"),
    _C.RECORD_LOST: _Meaning(Ran.MAYBE, _NEVER, 410, "the record is lost or expired"),
    _C.BAD_RUNNER_ANSWER: _Meaning(Ran.YES, _NEVER, 502, "a runner's answer was incomplete"),
    _C.PARTLY_RUN: _Meaning(Ran.MAYBE, _NEVER, 502, "some tasks may have run, others were refused"),
    _C.OWNER_UNREACHABLE: _Meaning(Ran.MAYBE, _SAME, 503, "not run here; owner unreachable"),
    _C.CLAIM_UNKNOWN: _Meaning(Ran.MAYBE, _SAME, 503, "the copy of the claim is not confirmed"),
    _C.TIMED_OUT: _Meaning(Ran.MAYBE, _SAME, 504, "no answer from another entry process in time"),
    _C.CLAIM_UNCONFIRMED: _Meaning(
        Ran.MAYBE, Resubmit.NEW_ID_IF_SOLE, 503, "never run here; the backup cannot be asked"
    ),
    _C.NOT_LEADER: _Meaning(Ran.NO, _SAME, 503, "this instance does not lead; ask the leader"),
    _C.APPLIED: _Meaning(Ran.YES, _NEVER, 200, "the change is accepted by a majority"),
    _C.INVALID_DOCUMENT: _Meaning(Ran.NO, _FIX, 422, "the configuration document is not valid"),
    _C.VERSION_CONFLICT: _Meaning(Ran.NO, _FIX, 409, "the change was made from an old version"),
    _C.UNAUTHORIZED: _Meaning(Ran.NO, _FIX, 401, "the operator token is missing or not valid"),
    _C.CHANGE_UNKNOWN: _Meaning(Ran.MAYBE, _SAME, 503, "ask again with the same change id"),
    _C.CHANGE_ID_REUSED: _Meaning(Ran.NO, _FIX, 409, "the change id belongs to another change"),
    _C.RUNNER_ACCEPTED: _Meaning(Ran.NO, _SAME, 200, "the announcement is accepted"),
    _C.RUNNER_MALFORMED: _Meaning(Ran.NO, _FIX, 400, "the announcement is not valid"),
    _C.RUNNER_REFUSED: _Meaning(Ran.NO, _SAME, 503, "the owner of the service is unreachable"),
}
