"""Calls between entry processes."""

from collections.abc import Callable
from concurrent.futures import Future
from enum import StrEnum
from typing import Protocol

from kumquatlift.failure import Failure

Handler = Callable[[str, bytes], bytes | None]
"""Takes the sender's name and a body; returns the answer's body, or None for no answer."""

AsyncHandler = Callable[[str, bytes], "Future[bytes]"]
"""Like a ``Handler``; the answer comes later and holds no thread of the topic while it waits."""


class Topic(StrEnum):
    """What a message between entry processes is about."""

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
    """Messages to other entry processes, which are named by their process name."""

    def call(
        self, peer: str, topic: str, body: bytes, *, timeout_s: float
    ) -> Future[bytes | Failure]:
        """Send a request and return the future of its answer.

        Returns:
            A future of the answer's body, of a ``NOT_DELIVERED`` failure when the request was
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
            workers: Handlers that run at a time; 1 keeps messages in order, None is the default.
        """
