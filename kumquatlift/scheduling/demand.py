"""What requesters and the scheduler exchange: demands, grants and their outcomes."""

from enum import Enum
from typing import NamedTuple


class Demand(NamedTuple):
    """A request for slots.

    Args:
        id: Chosen by the requester, unique.
        requester: Entry process that asks.
        service: Service name.
        kind: Request kind of the service.
        team: Team that is charged; empty for none.
        count: Requests, each of which takes one slot.
        urgency: Rank; 0 goes first.
        deadline_at: Monotonic seconds of the scheduler's clock.
        expected_s: Declared run time of one request, in seconds.
        waited_s: Time that the job has waited before, in another zone or for a retry.
    """

    id: str
    requester: str
    service: str
    kind: str
    team: str
    # The name is the one that the protocol uses; it hides the method tuple.count.
    count: int  # type: ignore[assignment]
    urgency: int
    deadline_at: float
    expected_s: float
    waited_s: float = 0.0


class Grant(NamedTuple):
    """Permission to send one request to a runner.

    Args:
        id: Unique for the scheduler.
        demand_id: Demand that it serves.
        requester: Entry process that may use it.
        runner: Runner name.
        address: Address of the runner, "ip:port".
        expires_at: Monotonic seconds of the scheduler's clock until which it may be started.
    """

    id: str
    demand_id: str
    requester: str
    runner: str
    address: str
    expires_at: float


UNMEASURED_S = -1.0
"""In place of a run time that is not known; nothing is learned from it."""


class AttemptOutcome(Enum):
    """How the use of a grant ended."""

    OK = "ok"
    FAILED = "failed"
    """It ran and failed."""
    REFUSED = "refused"
    """The runner refused it before it ran."""
    UNREACHABLE = "unreachable"
    """It was never sent."""
    UNKNOWN = "unknown"
    """It may have run."""
    UNUSED = "unused"
    """The grant was returned, or its requester cancelled the request: nothing is learned."""
