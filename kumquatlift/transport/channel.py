"""Interface for messages between processes, and their topics."""

from collections.abc import Callable
from concurrent.futures import Future
from enum import StrEnum
from typing import Protocol

from kumquatlift.failure import Failure

Handler = Callable[[str, bytes], bytes | None]
"""Takes the sender's name and a body; returns the answer's body, or None for an empty one."""

AsyncHandler = Callable[[str, bytes], "Future[bytes]"]
"""Like a ``Handler``, but returns a future, so a pending answer occupies no thread of the topic.

If the future raises, the call fails like that of a handler that raises."""


class Topic(StrEnum):
    """Topic of a message; it selects the handler in the receiving process."""

    LEDGER_APPEND = "ledger.append"
    LEDGER_FENCE = "ledger.fence"
    LEDGER_RESOLVE = "ledger.resolve"
    LEDGER_COPY = "ledger.copy"
    JOB_SUBMIT = "job.submit"
    JOB_GET = "job.get"
    JOB_CANCEL = "job.cancel"
    JOB_ANSWER = "job.answer"
    SLOTS_DEMAND = "slots.demand"
    SLOTS_GRANT = "slots.grant"
    SLOTS_FINISH = "slots.finish"
    SLOTS_CANCEL = "slots.cancel"
    RUNNER_ANNOUNCE = "runner.announce"
    CONFIG_PREPARE = "config.prepare"
    CONFIG_ACCEPT = "config.accept"
    CONFIG_READ = "config.read"
    CONFIG_VALUE = "config.value"
    LOG = "log"
    AUTHORITY = "authority"


class Channel(Protocol):
    """Sends messages to other processes, which are addressed by name, and receives theirs."""

    def call(
        self, peer: str, topic: str, body: bytes, *, timeout_s: float
    ) -> Future[bytes | Failure]:
        """Send a request.

        Args:
            peer: Name of the receiving process.
            topic: Topic of the request.
            body: Body of the request.
            timeout_s: Seconds after which the call fails without an answer.

        Returns:
            A future of the answer's body, or of a ``NOT_DELIVERED`` failure when the request was
            never sent, or of a ``TIMED_OUT`` failure when its effect is unknown. The future never
            raises.
        """

    def send(self, peer: str, topic: str, body: bytes) -> None:
        """Send a one-way message; it may be lost."""

    def handle(self, topic: str, handler: Handler, *, workers: int | None = None) -> None:
        """Register the handler of a topic.

        Args:
            topic: Name of the topic.
            handler: Runs in an executor thread.
            workers: Number of handlers that run concurrently; 1 handles messages in order, None
                means the default.
        """

    def handle_inline(self, topic: str, handler: Handler) -> None:
        """Register a handler that runs in the thread of the channel, in the order of arrival.

        Args:
            topic: Name of the topic.
            handler: Must not block, since it delays the messages of all topics.
        """
