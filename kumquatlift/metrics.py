"""OpenTelemetry metrics, read from the blackboard when they are collected."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from kumquatlift.blackboard import Blackboard


class Counter(NamedTuple):
    """A metric that is a counter of the blackboard.

    Args:
        name: Metric name.
        section: Section of the blackboard.
        key: Counter in the section.
        help: One line that says what is counted.
    """

    name: str
    section: str
    key: str
    help: str


COUNTERS = (
    Counter("kumquatlift.jobs.started", "dispatcher", "jobs_started", "jobs begun here"),
    Counter("kumquatlift.jobs.finished", "dispatcher", "jobs_finished", "jobs with an answer"),
    Counter(
        "kumquatlift.attempts.started", "dispatcher", "attempts_started", "requests to runners"
    ),
    Counter(
        "kumquatlift.attempts.failed",
        "dispatcher",
        "attempts_failed",
        "requests that ran and failed",
    ),
    Counter(
        "kumquatlift.attempts.not_run",
        "dispatcher",
        "attempts_not-run",
        "requests that did not run",
    ),
    Counter(
        "kumquatlift.attempts.unknown",
        "dispatcher",
        "attempts_unknown",
        "requests that may have run",
    ),
    Counter("kumquatlift.retries", "dispatcher", "retries", "requests started again"),
    Counter("kumquatlift.slots.messages", "requester", "messages_sent", "messages to slot owners"),
)


class Metrics:
    """Metrics of one process, with a scrape in the Prometheus text format.

    Nothing is recorded on the path of a task: every instrument observes a counter that the
    controllers keep anyway.

    Args:
        board: Blackboard that holds the counters.
    """

    def __init__(self, *, board: Blackboard) -> None:
        # Imported here, since the SDK takes about 20 MB that commands without metrics do not need.
        from opentelemetry.exporter.prometheus import PrometheusMetricReader
        from opentelemetry.sdk.metrics import MeterProvider
        from prometheus_client import CollectorRegistry

        self._board = board
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry, disable_target_info=True)
        self._provider = MeterProvider([reader])
        meter = self._provider.get_meter("kumquatlift")
        for counter in COUNTERS:
            meter.create_observable_counter(
                counter.name, [self._observer(counter)], unit="1", description=counter.help
            )

    def scrape(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import generate_latest

        return generate_latest(self._registry)

    def _observer(self, counter: Counter) -> Callable[[Any], Iterable[Any]]:
        from opentelemetry.metrics import Observation

        def observe(_options: Any) -> Iterable[Any]:
            return [Observation(self._board.read(counter.section, counter.key, 0))]

        return observe
