"""Data that requesters and the scheduler exchange: demands, grants and their outcomes."""

from enum import Enum
from typing import NamedTuple


class Demand(NamedTuple):
    """A request for slots.

    Args:
        id: Unique id, chosen by the requester.
        requester: Entry process that requests the slots.
        service: Service name.
        kind: Request kind of the service.
        team: Team that is charged; empty for none.
        count: Number of requests; each needs one slot.
        urgency: Rank of the urgency; 0 is served first.
        deadline_at: Deadline, in monotonic seconds of the scheduler's clock.
        expected_s: Declared run time of one request, in seconds.
        waited_s: Seconds that the job has waited before, in another zone or for a retry.
    """

    id: str
    requester: str
    service: str
    kind: str
    team: str
    # Named as in the Cap'n Proto schema; shadows the method tuple.count.
    count: int  # type: ignore[assignment]
    urgency: int
    deadline_at: float
    expected_s: float
    waited_s: float = 0.0


class Grant(NamedTuple):
    """Permission to send one request to a runner.

    Args:
        id: Id, unique within the scheduler.
        demand_id: Demand that the grant serves.
        requester: Entry process that may use the grant.
        runner: Runner name.
        address: Address of the runner, "ip:port".
        expires_at: Latest time to start the request, in monotonic seconds of the scheduler's clock.
    """

    id: str
    demand_id: str
    requester: str
    runner: str
    address: str
    expires_at: float


UNMEASURED_S = -1.0
"""Stands for an unknown run time; the estimates ignore it."""


class AttemptOutcome(Enum):
    """Outcome of a grant.

    Messages carry the position of a member, so the order must not change.
    """

    OK = "ok"
    FAILED = "failed"
    """The request ran and failed."""
    REFUSED = "refused"
    """The runner refused the request before it ran."""
    UNREACHABLE = "unreachable"
    """The request was never sent, because the runner could not be reached."""
    UNKNOWN = "unknown"
    """The request may have run; no answer was received."""
    UNUSED = "unused"
    """The grant was returned or the requester cancelled the request; this says nothing about the
    runner."""
