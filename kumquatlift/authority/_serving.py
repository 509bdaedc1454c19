"""The configuration in force: queues that accept jobs, and services that run their tasks."""

from collections.abc import Callable
from typing import NamedTuple


class Queue(NamedTuple):
    """A queue to which callers submit jobs.

    Args:
        name: Name in the configuration.
        host: Host name to which callers send requests.
        prefix: Prefix of the request paths.
        service: Service whose upstreams run the tasks.
        priority: 0 is the most urgent.
        max_attempts: Number of failed runs of a task after which the job fails.
        slack_factor: Factor of the objective, which is this many times the run time of the job's
            critical path plus ``target_ms``.
        target_ms: Constant part of the objective, in milliseconds.
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
        """Identity that stays the same across versions of the configuration."""
        return f"{self.host}{self.prefix}"


class ServingConfig(NamedTuple):
    """One version of the configuration.

    Args:
        version: Version number; the highest one is in force.
        queues: All queues.
        services: Names of the services.
        source: Text that the operator submitted.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    services: tuple[str, ...] = ()
    source: str = ""


ConfigReader = Callable[[str], ServingConfig]
"""Parses a configuration text, which was validated before it was accepted."""


class RoutingTable:
    """Finds the queue of a request by its host and path.

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
        """Return the queue with the longest prefix of a path, or None."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None
