"""OpenTelemetry metrics, read from the blackboard when they are collected."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from kumquatlift.blackboard import Blackboard


class Counter(NamedTuple):
    """A metric that exports a counter of the blackboard.

    Args:
        name: Metric name.
        section: Section of the blackboard.
        key: Key of the counter in the section.
        help: Description in one line.
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

LOG_COUNTERS = (
    Counter("kumquatlift.log.dropped", "log", "lines_dropped", "log lines that were not written"),
)

FRONTEND_COUNTERS = (
    *LOG_COUNTERS,
    Counter("kumquatlift.submits", "frontend", "submits", "jobs that callers submitted"),
    Counter("kumquatlift.submits.malformed", "frontend", "jobs_malformed", "jobs that are no jobs"),
    Counter(
        "kumquatlift.submits.refused", "frontend", "submits_overloaded", "refused for lack of room"
    ),
    Counter(
        "kumquatlift.submits.no_leader",
        "frontend",
        "submits_not-delivered",
        "refused since no instance leads",
    ),
    Counter(
        "kumquatlift.submits.unknown", "frontend", "submits_timed-out", "with an unknown outcome"
    ),
    Counter("kumquatlift.states.unknown", "frontend", "states_unknown", "states not answered"),
)

AUTHORITY_COUNTERS = (
    *LOG_COUNTERS,
    Counter("kumquatlift.jobs.accepted", "authority", "jobs_accepted", "jobs taken"),
    Counter("kumquatlift.jobs.refused", "authority", "jobs_refused", "jobs that would be late"),
    Counter(
        "kumquatlift.jobs.refused_over_share",
        "authority",
        "jobs_refused_over_share",
        "jobs refused because their queue and zone use more than their share",
    ),
    Counter("kumquatlift.jobs.completed", "authority", "jobs_completed", "jobs completed"),
    Counter("kumquatlift.jobs.in_time", "authority", "jobs_in_time", "of these, in time"),
    Counter("kumquatlift.jobs.failed", "authority", "jobs_failed", "jobs failed"),
    Counter("kumquatlift.jobs.cancelled", "authority", "jobs_cancelled", "jobs cancelled"),
    Counter("kumquatlift.starts", "authority", "starts", "tasks started"),
    Counter("kumquatlift.starts.unknown", "authority", "starts_unknown", "starts with no answer"),
    Counter(
        "kumquatlift.starts.withdrawn",
        "authority",
        "starts_withdrawn",
        "starts given up as their zone is emptied",
    ),
    Counter("kumquatlift.stops", "authority", "stops", "runs stopped"),
    Counter("kumquatlift.looks", "authority", "looks", "lists asked of upstreams"),
    Counter(
        "kumquatlift.starts.apart", "authority", "starts_apart", "starts moved from a bad neighbour"
    ),
    Counter(
        "kumquatlift.starts.beside", "authority", "starts_beside", "starts beside a bad neighbour"
    ),
)


class Metrics:
    """Metrics of one process in the Prometheus text format.

    They cost no time when a task is handled: each scrape reads the counters and histograms that
    the controllers keep on the blackboard.

    Args:
        board: Blackboard that holds the counters.
        counters: Counters to export.
    """

    def __init__(self, *, board: Blackboard, counters: tuple[Counter, ...] = COUNTERS) -> None:
        # Imported here because the SDK needs about 20 MB, which commands without metrics save.
        from opentelemetry.exporter.prometheus import PrometheusMetricReader
        from opentelemetry.sdk.metrics import MeterProvider
        from prometheus_client import CollectorRegistry

        self._board = board
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry, disable_target_info=True)
        self._provider = MeterProvider([reader])
        meter = self._provider.get_meter("kumquatlift")
        self._registry.register(_Histograms(board=board))
        self._registry.register(_Interference(board=board))
        for counter in counters:
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


class _Interference:
    """Prometheus collector of the queues that slow each other down.

    Args:
        board: Blackboard on which the leader publishes the pairs.
    """

    def __init__(self, *, board: Blackboard) -> None:
        self._board = board

    def collect(self) -> Iterable[Any]:
        """Return ratio, evidence and age of each pair that is published."""
        from prometheus_client.core import GaugeMetricFamily

        labels = ["queue", "beside"]
        families = {
            key: GaugeMetricFamily(f"kumquatlift_interference_{key}", help, labels=labels)
            for key, help in (
                ("ratio", "run time beside the other queue, relative to that without it"),
                ("runs", "runs from which the ratio is known"),
                ("age_s", "age of the newest evidence"),
                ("is_apart", "whether both are kept apart"),
            )
        }
        for row in self._board.read("authority", "interference", []):
            for key, family in families.items():
                family.add_metric([row["queue"], row["beside"]], float(row[key]))
        return list(families.values())


class _Histograms:
    """Prometheus collector of the blackboard's histograms.

    OpenTelemetry has no observable instrument for a histogram.

    Args:
        board: Blackboard that holds the histograms.
    """

    def __init__(self, *, board: Blackboard) -> None:
        self._board = board

    def collect(self) -> Iterable[Any]:
        """Return the current counts of all histograms."""
        from prometheus_client.core import HistogramMetricFamily

        return [
            HistogramMetricFamily(
                f"kumquatlift_{each.name}", each.help, each.cumulative(), each.sum_ms
            )
            for each in self._board.histograms()
        ]
