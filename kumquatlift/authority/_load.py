"""Measures the load of a service when a job is submitted."""

from collections.abc import Collection
from typing import NamedTuple

from kumquatlift.authority._admission import Load
from kumquatlift.authority._fleet import Upstream
from kumquatlift.authority._free_rate import FreeRate
from kumquatlift.authority._offer_index import OfferIndex
from kumquatlift.authority._progress import Progress
from kumquatlift.clock import Clock

# Slots and speeds are recomputed after this time, which is short against the 1.5 s between the
# heartbeats by which upstreams come and go.
CAPACITY_CACHE_S = 0.1
# The rate at which runs make room is recomputed after this time, in which a few jobs are submitted.
FREE_RATE_CACHE_S = 0.02
# The cache of capacities is cleared when it holds this many entries.
MAX_CAPACITIES = 1000
# Longest expected time until the resources for a job are freed, in milliseconds. It bounds the
# estimate when hardly anything runs where the job fits.
MAX_START_MS = 10_000.0
# Share of the usable upstreams that counts as fast. Tasks wait for the slowest speed among them, so
# that no task waits for the one upstream with the highest estimate.
FAST_SHARE = 0.2


class LoadMeter:
    """Measures the load of the services of one leader.

    Args:
        offer_index: The usable upstreams.
        progress: Open jobs by identity.
        clock: Source of time.
    """

    def __init__(
        self, *, offer_index: OfferIndex, progress: dict[str, Progress], clock: Clock
    ) -> None:
        self._offer_index = offer_index
        self._progress = progress
        self._clock = clock
        self._capacities: dict[tuple[str, int], _Capacity] = {}
        self._fast_speeds: dict[str, tuple[float, float]] = {}
        self._free_rates: dict[str, tuple[FreeRate, float]] = {}

    def forget(self) -> None:
        """Count slots and speeds anew for the next job, as many upstreams have come or gone."""
        self._capacities.clear()
        self._fast_speeds.clear()
        self._free_rates.clear()

    def load(self, service: str, cpu_milli: int, start_by: float, tasks: int = 1) -> Load:
        """Return the load of a service for a new job.

        Args:
            service: Service of the job's queue.
            cpu_milli: Processor that its largest task needs, in thousandths of a core.
            start_by: Time by which the job must start, in seconds; waiting jobs that must start
                later are served after it and do not count.
            tasks: Number of tasks of its largest step.
        """
        now = self._clock.now()
        usable = self._offer_index.usable(service, now)
        capacity = self._capacity(service, cpu_milli, usable, now)
        backlog_ms = 0.0
        queued_ms = 0.0
        for progress in self._progress.values():
            if progress.waiting and progress.queue and progress.queue.service == service:
                queued_ms += progress.waiting_ms
                latest_start = progress.objective_at - progress.critical_path_ms / 1000
                if latest_start <= start_by and progress.expires_at > now:
                    backlog_ms += progress.waiting_ms
        # A wider job starts with as many tasks as there is room for.
        first_tasks = int(min(tasks, capacity.slots))
        start_ms = self._time_to_free_ms(service, cpu_milli, first_tasks, now)
        is_idle = not backlog_ms and not any(upstream.runs for upstream in usable)
        return Load(
            capacity.slots,
            capacity.speed,
            backlog_ms,
            queued_ms=queued_ms,
            start_ms=start_ms,
            is_idle=is_idle,
            speed_age_s=now - capacity.speed_at,
        )

    def _time_to_free_ms(self, service: str, cpu_milli: int, tasks: int, now: float) -> float:
        """Return the expected time until resources for some tasks are free, in milliseconds.

        It is 0 if one of them can start at once. Runs end one after the other, so the first of
        hundreds ends after a few milliseconds, although each of them has hundreds left.

        Args:
            service: Service of the tasks.
            cpu_milli: Processor that each task needs, in thousandths of a core.
            tasks: Number of tasks.
            now: Current time, in seconds.
        """
        usable = self._offer_index.usable(service, now)
        if any(upstream.free.cpu_milli >= cpu_milli for upstream in usable):
            return 0.0
        rate, counted_at = self._free_rates.get(service, (None, 0.0))
        if rate is None or now - counted_at > FREE_RATE_CACHE_S:
            rate = FreeRate(upstreams=usable, now=now)
            self._free_rates[service] = (rate, now)
        freed_per_s = rate.per_s(cpu_milli)
        return min(MAX_START_MS, 1000 * tasks / freed_per_s) if freed_per_s else MAX_START_MS

    def fast_speed(self, service: str) -> float:
        """Return the least speed among the fastest fifth of the usable upstreams.

        The result is cached for a short time; it is 0 if no upstream is usable.
        """
        now = self._clock.now()
        cached = self._fast_speeds.get(service)
        if cached is not None and now - cached[0] < CAPACITY_CACHE_S:
            return cached[1]
        speeds = sorted(
            (each.speed for each in self._offer_index.usable(service, now)), reverse=True
        )
        fast = speeds[int(FAST_SHARE * len(speeds))] if speeds else 0.0
        self._fast_speeds[service] = (now, fast)
        return fast

    def _capacity(
        self, service: str, cpu_milli: int, usable: Collection[Upstream], now: float
    ) -> "_Capacity":
        """Return the slots for tasks of a size and the speed of the usable upstreams; cached."""
        key = (service, cpu_milli)
        cached = self._capacities.get(key)
        if cached is not None and now - cached.counted_at < CAPACITY_CACHE_S:
            return cached
        if len(self._capacities) >= MAX_CAPACITIES:
            self._capacities.clear()
        count = len(usable)
        capacity = _Capacity(
            now,
            sum(upstream.state.cpu_milli // max(1, cpu_milli) for upstream in usable),
            sum(upstream.speed for upstream in usable) / count if count else 1.0,
            sum(upstream.speed_at for upstream in usable) / count if count else now,
        )
        self._capacities[key] = capacity
        return capacity


class _Capacity(NamedTuple):
    """Capacity of the usable upstreams for tasks of one size.

    Args:
        counted_at: Time of the count.
        slots: Number of tasks that can run at a time.
        speed: Mean speed.
        speed_at: Mean time at which the speeds were last updated.
    """

    counted_at: float
    slots: float
    speed: float
    speed_at: float
