"""The configuration in force: queues that callers reach, and services that run their tasks."""

from collections.abc import Callable
from typing import NamedTuple


class Queue(NamedTuple):
    """Where callers submit jobs.

    Args:
        name: Name in the configuration.
        host: Host name that callers use.
        prefix: Start of the paths.
        service: Service whose upstreams run the tasks.
        priority: 0 is the most urgent.
        max_attempts: Failed runs of a task after which the job has failed.
        slack_factor: The objective of a job is this many times its chain of work, ...
        target_ms: ... and this much more.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    slack_factor: float
    target_ms: int

    @property
    def key(self) -> str:
        """Identity that a change of the configuration keeps."""
        return f"{self.host}{self.prefix}"


class ServingConfig(NamedTuple):
    """One version of the configuration.

    Args:
        version: Number; the highest is in force.
        queues: All queues.
        services: Names of the services.
        source: The text that the operator sent.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    services: tuple[str, ...] = ()
    source: str = ""


ConfigReader = Callable[[str], ServingConfig]
"""Reads the text that an operator sent; it was checked before it was accepted."""


class RoutingTable:
    """Finds the queue of a request.

    Args:
        cfg: Configuration in force.
    """

    def __init__(self, *, cfg: ServingConfig) -> None:
        self.cfg = cfg
        self.by_key = {queue.key: queue for queue in cfg.queues}
        self._by_host: dict[str, list[Queue]] = {}
        for queue in sorted(cfg.queues, key=lambda each: -len(each.prefix)):
            self._by_host.setdefault(queue.host, []).append(queue)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that a path begins with."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None
