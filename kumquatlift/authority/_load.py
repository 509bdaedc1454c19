"""Measures the load that a new job meets."""

from kumquatlift.authority._admission import Load
from kumquatlift.authority._fleet import Upstream
from kumquatlift.authority._progress import Progress
from kumquatlift.clock import Clock

# The number of slots changes with upstreams that come and go, within heartbeats of 1.5 s.
SLOTS_CACHE_S = 0.1
MAX_SLOT_COUNTS = 1000
# Which upstreams are usable is looked up again after this time; a pass over 176 takes 0.1 ms, and
# up to 700 jobs a second are judged.
USABLE_CACHE_S = 0.02
# What is left on average of a run that works, as a share of its expected time; it counts when
# nothing is free.
MEAN_REMAINING_SHARE = 0.5
# This share of the usable upstreams is at least as fast as the speed that tasks wait for, so that
# no task waits for the one with the highest estimate.
FAST_SHARE = 0.2


class LoadMeter:
    """Load of the services under one leader.

    Args:
        fleet: Upstreams by identity.
        progress: Open jobs by identity.
        clock: Source of time.
    """

    def __init__(
        self, *, fleet: dict[str, Upstream], progress: dict[str, Progress], clock: Clock
    ) -> None:
        self._fleet = fleet
        self._progress = progress
        self._clock = clock
        self._usable_lists: dict[str, tuple[float, list[Upstream]]] = {}
        self._slot_counts: dict[tuple[str, int], tuple[float, float, float]] = {}
        self._fast_speeds: dict[str, tuple[float, float]] = {}

    def load(self, service: str, cpu_milli: int, start_by: float) -> Load:
        """Return the load that a job meets.

        Args:
            service: Service of its queue.
            cpu_milli: Room that its largest task needs.
            start_by: Time by which it must start; jobs that must start later are not ahead of it.
        """
        now = self._clock.now()
        usable = self._usable(service, now)
        slots, speed = self._slots(service, cpu_milli, usable, now)
        ahead_ms = 0.0
        for progress in self._progress.values():
            if progress.waiting and progress.queue and progress.queue.service == service:
                latest = progress.objective_at - progress.critical_path_ms / 1000
                if latest <= start_by and progress.expires_at > now:
                    ahead_ms += progress.waiting_ms
        if not any(upstream.room.cpu_milli >= cpu_milli for upstream in usable):
            ahead_ms += sum(
                MEAN_REMAINING_SHARE * run.expected_ms
                for upstream in usable
                for run in upstream.runs.values()
            )
        return Load(slots, speed, ahead_ms)

    def fast_speed(self, service: str) -> float:
        """Return the speed of the fastest fifth of the usable upstreams; 0 without any."""
        now = self._clock.now()
        cached = self._fast_speeds.get(service)
        if cached is not None and now - cached[0] < SLOTS_CACHE_S:
            return cached[1]
        speeds = sorted((each.speed for each in self._usable(service, now)), reverse=True)
        fast = speeds[int(FAST_SHARE * len(speeds))] if speeds else 0.0
        self._fast_speeds[service] = (now, fast)
        return fast

    def _usable(self, service: str, now: float) -> list[Upstream]:
        """Return the upstreams that may take tasks of a service; kept for a while."""
        cached = self._usable_lists.get(service)
        if cached is not None and now - cached[0] < USABLE_CACHE_S:
            return cached[1]
        usable = [
            upstream
            for upstream in self._fleet.values()
            if upstream.state.service == service and upstream.is_usable(now)
        ]
        self._usable_lists[service] = (now, usable)
        return usable

    def _slots(
        self, service: str, cpu_milli: int, usable: list[Upstream], now: float
    ) -> tuple[float, float]:
        """Return how many tasks of a size run at a time, and the mean speed; kept for a while."""
        key = (service, cpu_milli)
        cached = self._slot_counts.get(key)
        if cached is not None and now - cached[0] < SLOTS_CACHE_S:
            return cached[1], cached[2]
        if len(self._slot_counts) >= MAX_SLOT_COUNTS:
            self._slot_counts.clear()
        slots = sum(upstream.state.cpu_milli // max(1, cpu_milli) for upstream in usable)
        speed = sum(upstream.speed for upstream in usable) / len(usable) if usable else 1.0
        self._slot_counts[key] = (now, slots, speed)
        return slots, speed
