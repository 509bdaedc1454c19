"""Orders to upstreams and their answers, independent of the wire protocol."""

from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple, Protocol

from kumquatlift.authority._commands import TaskEnd, TaskKey

# Timeout of the first attempt of an order. Upstreams answer within a few round trips of 2 ms, and a
# lost answer must be detected well within the objective of the shortest jobs.
ORDER_TIMEOUT_S = 0.03
# The timeout doubles after every second attempt up to this limit, in case the upstream is slow.
MAX_ORDER_TIMEOUT_S = 0.2


class UpstreamRef(NamedTuple):
    """The incarnation of an upstream that an order is meant for.

    Args:
        upstream_id: Identity of the upstream.
        started_at_ms: Start of the incarnation, Unix milliseconds; answers of another incarnation
            are not accepted.
        address: Address at which it accepts orders, "ip:port".
        token: Fencing token of the leader for this incarnation.
    """

    upstream_id: str
    started_at_ms: int
    address: str
    token: int


class StartOrder(NamedTuple):
    """Order to start a run of a task; it also renews the upstream's lease.

    Args:
        task: The task.
        run: Number of the run.
        payload: Text that the caller submitted with the job.
        lease_end_ms: End of the upstream's lease, in milliseconds of its own clock.
        checkpoint: Progress to resume from; empty for none.
        ticket: Ticket by which the platform's advice service permits the start; empty for none.
        timeout_s: Time after which the answer counts as lost, in seconds.
    """

    task: TaskKey
    run: int
    payload: str
    lease_end_ms: int
    checkpoint: str = ""
    ticket: str = ""
    timeout_s: float = ORDER_TIMEOUT_S


class StopOrder(NamedTuple):
    """Order to stop a run, or to reject its start order if that arrives later.

    Args:
        task: The task.
        run: Number of the run.
        timeout_s: Time after which the answer counts as lost, in seconds.
    """

    task: TaskKey
    run: int
    timeout_s: float = MAX_ORDER_TIMEOUT_S


class PollOrder(NamedTuple):
    """Order to list the running tasks and the unacknowledged ends.

    Args:
        acked_end: Number up to which the leader acknowledges ends; they are durable.
        lease_end_ms: End of the upstream's lease, in milliseconds of its own clock; 0 to leave the
            lease unchanged.
        wait_ms: Time that the answer may wait for an end, in milliseconds.
    """

    acked_end: int
    lease_end_ms: int
    wait_ms: int


class OrderResult(Enum):
    """Outcome of an order."""

    OK = auto()
    FENCED = auto()
    """The upstream has seen a higher token."""
    STALE_RUN = auto()
    """The run has ended, or its start was barred by a stop."""
    LEASE_PASSED = auto()
    """The lease in the order had ended before it arrived."""
    NO_ROOM = auto()
    """The upstream lacks free resources for the task."""
    NO_TICKET = auto()
    """The upstream requires a ticket, and the order held no valid one."""
    OTHER_LIFE = auto()
    """Another incarnation is running, so the one that was meant has ended, with all its runs."""
    BORN_AGAIN = auto()
    """A later incarnation answered; it is unknown whether it carried out the order."""
    REFUSED = auto()
    """The upstream reported that it is unhealthy and did nothing."""
    MALFORMED = auto()
    """The upstream does not understand the order."""
    NOT_SENT = auto()
    """No connection could be opened, so the order wasn't sent."""
    UNKNOWN = auto()
    """No answer arrived; the order may have been carried out or may still be."""


class OrderAnswer(NamedTuple):
    """Answer to a start or stop order.

    Args:
        result: Outcome of the order.
        clock_ms: Reading of the upstream's clock, in milliseconds; None when it gave none.
        reason: One line for the log.
    """

    result: OrderResult
    clock_ms: int | None = None
    reason: str = ""


class RunningTask(NamedTuple):
    """A task that an upstream lists as running.

    Args:
        task: The task.
        run: Number of the run.
        checkpoint: Newest progress that a later run can resume from; empty for none.
        percent: Completed share of the work, 0 to 100.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int


class PollAnswer(NamedTuple):
    """Answer to a poll.

    Args:
        result: Outcome of the poll.
        clock_ms: Reading of the upstream's clock, in milliseconds; None when it gave none.
        running: All tasks that run there.
        ends: Unacknowledged ends, each after its number, in ascending order.
        reason: One line for the log.
        tasks_without_run: Tasks that run there under a number that could not be read.
        unread_ends: Number of listed ends that could not be read.
        may_have_more_ends: Whether the upstream may hold later ends that it has not listed.
    """

    result: OrderResult
    clock_ms: int | None = None
    running: tuple[RunningTask, ...] = ()
    ends: tuple[tuple[int, TaskEnd], ...] = ()
    reason: str = ""
    tasks_without_run: frozenset[TaskKey] = frozenset()
    unread_ends: int = 0
    may_have_more_ends: bool = False


class UpstreamGateway(Protocol):
    """Sends orders to upstreams; answers arrive in the event loop of the caller."""

    def start(
        self, ref: UpstreamRef, order: StartOrder, done: Callable[[OrderAnswer], None]
    ) -> None:
        """Send a start order."""

    def stop(self, ref: UpstreamRef, order: StopOrder, done: Callable[[OrderAnswer], None]) -> None:
        """Send a stop order."""

    def poll(self, ref: UpstreamRef, order: PollOrder, done: Callable[[PollAnswer], None]) -> None:
        """Send a poll, which lists runs and ends and renews the lease."""
