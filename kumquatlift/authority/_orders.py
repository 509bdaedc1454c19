"""Orders to upstreams and their answers, without the words of any protocol."""

from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple, Protocol

from kumquatlift.authority._commands import TaskEnd, TaskKey

# Upstreams answer an order within a few round trips of 2 ms; a lost answer must be noticed well
# within the objective of the shortest jobs.
ORDER_TIMEOUT_S = 0.03
# Each repeat of an order waits twice as long, up to this limit, in case the upstream is slow.
MAX_ORDER_TIMEOUT_S = 0.2


class UpstreamRef(NamedTuple):
    """The life of an upstream that an order is meant for.

    Args:
        upstream_id: Identity.
        started_at_ms: Start of the life; an answer of another life is not taken.
        address: Where it takes orders.
        token: Fencing token.
    """

    upstream_id: str
    started_at_ms: int
    address: str
    token: int


class StartOrder(NamedTuple):
    """Start a task.

    Args:
        task: The task.
        run: Number of the run.
        payload: Text of the job.
        lease_end_ms: End of the upstream's lease, on its own clock.
        checkpoint: Progress to resume from; empty for none.
        ticket: Permission of the advice service; empty for none.
        timeout_s: Time after which the answer is taken for lost, in seconds.
    """

    task: TaskKey
    run: int
    payload: str
    lease_end_ms: int
    checkpoint: str = ""
    ticket: str = ""
    timeout_s: float = ORDER_TIMEOUT_S


class StopOrder(NamedTuple):
    """Stop a run, or bar it when it has not come yet.

    Args:
        task: The task.
        run: Number of the run.
        timeout_s: Time after which the answer is taken for lost, in seconds.
    """

    task: TaskKey
    run: int
    timeout_s: float = MAX_ORDER_TIMEOUT_S


class PollOrder(NamedTuple):
    """List what runs and what has ended.

    Args:
        acked_end: Ends up to this number are durable here.
        lease_end_ms: End of the upstream's lease, on its own clock; 0 to leave it.
        wait_ms: How long the answer may wait for an end.
    """

    acked_end: int
    lease_end_ms: int
    wait_ms: int


class OrderResult(Enum):
    """What became of an order."""

    OK = auto()
    FENCED = auto()
    """The upstream has seen a higher token."""
    STALE_RUN = auto()
    """The run has ended or was barred."""
    LEASE_PASSED = auto()
    """The lease of the order had ended when it came."""
    NO_ROOM = auto()
    NO_TICKET = auto()
    OTHER_LIFE = auto()
    """Another life of the upstream is there; the one that was meant runs nothing."""
    BORN_AGAIN = auto()
    """A later life with the same identity answered; what it did cannot be told."""
    REFUSED = auto()
    """The upstream says that it is not healthy, and did nothing."""
    MALFORMED = auto()
    """The upstream does not understand the order."""
    NOT_SENT = auto()
    """No connection could be opened, so the order never left."""
    UNKNOWN = auto()
    """No answer; the order may have been carried out, or may be later."""


class OrderAnswer(NamedTuple):
    """Answer to a start or a stop.

    Args:
        result: What became of it.
        clock_ms: Reading of the upstream's clock; None when it gave none.
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
        checkpoint: Newest saved progress.
        percent: Work done, 0 to 100.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int


class PollAnswer(NamedTuple):
    """Answer to a look.

    Args:
        result: What became of it.
        clock_ms: Reading of the upstream's clock.
        running: Everything that runs there.
        ends: Ends that were not acknowledged, with their numbers in rising order.
        reason: One line for the log.
    """

    result: OrderResult
    clock_ms: int | None = None
    running: tuple[RunningTask, ...] = ()
    ends: tuple[tuple[int, TaskEnd], ...] = ()
    reason: str = ""


class UpstreamGateway(Protocol):
    """Carries orders to upstreams; answers arrive in the caller's event loop."""

    def start(
        self, ref: UpstreamRef, order: StartOrder, done: Callable[[OrderAnswer], None]
    ) -> None:
        """Send a start."""

    def stop(self, ref: UpstreamRef, order: StopOrder, done: Callable[[OrderAnswer], None]) -> None:
        """Send a stop."""

    def poll(self, ref: UpstreamRef, order: PollOrder, done: Callable[[PollAnswer], None]) -> None:
        """Ask for the lists."""
