"""Placement: decides which waiting tasks start and on which upstreams, as pure functions.

The typical load is upstreams of different speeds at 80 % utilization, with short and long jobs of
few and many tasks in the queues. A task is placed on the slowest upstream on which its job still
meets its objective, so that the fast upstreams stay free for tasks that need them. If its job would
be late on all free upstreams, the task waits for a faster one and leaves the free ones to shorter
tasks.
"""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from typing import NamedTuple

from kumquatlift.authority._interference import Disturbance

# Run times vary around their estimate, so an upstream counts as fast enough only if this multiple
# of the expected run time fits. Factors near 1 make more jobs late at the usual load.
SAFETY_FACTOR = 2.2
# A task waits for a faster upstream as long as this multiple of its expected run time there remains
# until its objective. Lower and higher factors serve fewer jobs; 1.8 serves fewer than no waiting.
WAIT_FACTOR = 1.2
# Time from the decision until the task runs, plus the time from its end until the caller is told.
OVERHEAD_MS = 25.0
# The expected run time of a task is multiplied by this on upstreams on which it failed or whose
# lease lapsed, so that other upstreams are preferred.
AVOID_FACTOR = 4.0
# Offers that are looked at to keep a task apart from bad neighbours. Looking at hundreds for each
# task would take longer than the leader has for a start.
MAX_LOOKED_AT = 32


class WaitingTask(NamedTuple):
    """A task that could start now.

    Args:
        cpu_milli: Required processor, in thousandths of a core.
        memory_mb: Required memory, in megabytes.
        gpus: Required accelerators.
        expected_ms: Expected run time at speed 1, in milliseconds.
        objective_at: Time by which its job should complete, in seconds.
        label: Label that the upstream must have; empty for any upstream.
        data_rack: Rack that holds its data; empty for none.
        remote_factor: Factor by which its run time grows on another rack.
        avoid: Upstreams on which it failed before.
        wait_speed: Speed of the upstreams that it may wait for; 0 if it may not wait.
    """

    cpu_milli: int
    memory_mb: int
    gpus: int
    expected_ms: float
    objective_at: float
    label: str = ""
    data_rack: str = ""
    remote_factor: float = 1.0
    avoid: frozenset[str] = frozenset()
    wait_speed: float = 0.0


class UpstreamOffer(NamedTuple):
    """The free resources of an upstream on which tasks may start.

    Args:
        upstream_id: Identity of the upstream.
        cpu_milli: Free processor, in thousandths of a core.
        memory_mb: Free memory, in megabytes.
        gpus: Free accelerators.
        speed: Estimated speed relative to that of a usual upstream.
        labels: Labels.
        rack: Rack.
        failures: Number of runs that have failed or stalled since the last one that succeeded.
    """

    upstream_id: str
    cpu_milli: int
    memory_mb: int
    gpus: int
    speed: float
    labels: tuple[str, ...]
    rack: str
    failures: float = 0.0


def fits(task: WaitingTask, offer: UpstreamOffer) -> bool:
    """Return whether an upstream has the free resources and the label for a task."""
    return (
        task.cpu_milli <= offer.cpu_milli
        and task.memory_mb <= offer.memory_mb
        and task.gpus <= offer.gpus
        and (not task.label or task.label in offer.labels)
    )


def run_ms(task: WaitingTask, offer: UpstreamOffer) -> float:
    """Return the expected run time of a task on an upstream, in milliseconds."""
    time_ms = task.expected_ms / offer.speed
    if task.data_rack and task.data_rack != offer.rack:
        time_ms *= task.remote_factor
    if offer.upstream_id in task.avoid:
        time_ms *= AVOID_FACTOR
    return time_ms * (1 + offer.failures)


def should_wait(task: WaitingTask, offer: UpstreamOffer, remaining_ms: float) -> bool:
    """Return whether a task would be late on the best free upstream and in time on a faster one.

    Args:
        task: The task.
        offer: The best offer.
        remaining_ms: Time until the objective of its job, in milliseconds.
    """
    if not task.wait_speed or run_ms(task, offer) * WAIT_FACTOR <= remaining_ms:
        return False
    return task.expected_ms / task.wait_speed * WAIT_FACTOR <= remaining_ms


def choose(
    task: WaitingTask,
    offers: Iterable[UpstreamOffer],
    now: float,
    exclude: frozenset[str] = frozenset(),
) -> UpstreamOffer | None:
    """Return the offer on which a task should start, or None if it has to wait.

    This is the slowest upstream on which the task meets its objective, or else the fastest one. The
    task waits if it fits on no upstream, or if it should wait for a faster one.

    Args:
        task: The task.
        offers: Upstreams on which tasks may start.
        now: Current time, in seconds.
        exclude: Upstreams that already run as many tasks of its step as allowed.
    """
    remaining_ms = (task.objective_at - now) * 1000 - OVERHEAD_MS
    best: UpstreamOffer | None = None
    best_rank: tuple[int, float] | None = None
    for offer in offers:
        if not fits(task, offer) or offer.upstream_id in exclude:
            continue
        rank = _rank(task, offer, remaining_ms)
        if best_rank is None or rank < best_rank:
            best, best_rank = offer, rank
    return None if best is None or should_wait(task, best, remaining_ms) else best


def _rank(task: WaitingTask, offer: UpstreamOffer, remaining_ms: float) -> tuple[int, float]:
    """Return the sort key of an offer; the task starts on the one with the lowest."""
    time_ms = run_ms(task, offer)
    is_in_time = time_ms * SAFETY_FACTOR <= remaining_ms
    return (0, -time_ms) if is_in_time else (1, time_ms)


def choose_apart(
    task: WaitingTask,
    ranked: Iterable[UpstreamOffer],
    now: float,
    disturb: Callable[[UpstreamOffer], Disturbance],
) -> UpstreamOffer | None:
    """Return the offer on which a task starts that has bad neighbours on the best one.

    The load is an upstream that is best for the task and runs tasks that it would slow down, or
    that would slow it down, while others have room. The task goes where its job is in time, and
    among these where the least time is lost by both sides; a faster upstream than needed counts as
    no loss. If it is late everywhere, it goes where its own run and the time that the others lose
    are the shortest together, so it goes to a slower upstream only if that pays. It never waits.

    Args:
        task: The task.
        ranked: Offers that it fits, the best one first.
        now: Current time, in seconds.
        disturb: Returns what it costs to start it on an upstream.
    """
    remaining_ms = (task.objective_at - now) * 1000 - OVERHEAD_MS
    best: UpstreamOffer | None = None
    best_rank: tuple[bool, float] | None = None
    for offer in islice(ranked, MAX_LOOKED_AT):
        cost = disturb(offer)
        alone_ms = run_ms(task, offer)
        time_ms = alone_ms * cost.factor
        others_ms = cost.others_ms / offer.speed
        is_late = time_ms * SAFETY_FACTOR > remaining_ms
        lost_ms = (time_ms if is_late else time_ms - alone_ms) + others_ms
        if best_rank is None or (is_late, lost_ms) < best_rank:
            best, best_rank = offer, (is_late, lost_ms)
        if cost.is_none:
            # The next ones in the order are not better for the task.
            break
    return best


class OffersBySpeed:
    """The offers of one service, ordered by speed.

    A search in order of speed ends at the first upstream that has enough free resources. With 176
    upstreams, a search through all of them for each task takes a third of the leader's decision
    time.

    Args:
        offers: Upstreams on which tasks may start.
        least_milli: Upstreams with less free processor than this are left out, in thousandths of a
            core, because no waiting task fits there.
    """

    def __init__(self, offers: Iterable[UpstreamOffer] = (), *, least_milli: int = 0) -> None:
        self._least_milli = least_milli
        self._offers = {each.upstream_id: each for each in offers if self._is_useful(each)}
        self._order = sorted((_effective_speed(each), id) for id, each in self._offers.items())

    def __bool__(self) -> bool:
        return bool(self._offers)

    def __getitem__(self, upstream_id: str) -> UpstreamOffer:
        return self._offers[upstream_id]

    def __iter__(self) -> Iterator[UpstreamOffer]:
        return iter(self._offers.values())

    def _is_useful(self, offer: UpstreamOffer) -> bool:
        is_full = offer.cpu_milli <= 0 and offer.memory_mb <= 0
        return not is_full and offer.cpu_milli >= self._least_milli

    def copy(self) -> "OffersBySpeed":
        """Return an independent copy."""
        return OffersBySpeed(self._offers.values(), least_milli=self._least_milli)

    def update(self, offer: UpstreamOffer) -> None:
        """Add or replace the offer of an upstream; it is removed if no waiting task fits there."""
        known = self._offers.get(offer.upstream_id)
        if known is not None and _effective_speed(known) != _effective_speed(offer):
            self.remove(offer.upstream_id)
            known = None
        if not self._is_useful(offer):
            self.remove(offer.upstream_id)
            return
        if known is None:
            insort(self._order, (_effective_speed(offer), offer.upstream_id))
        self._offers[offer.upstream_id] = offer

    def remove(self, upstream_id: str) -> None:
        """Remove the offer of an upstream, if there is one."""
        offer = self._offers.pop(upstream_id, None)
        if offer is not None:
            del self._order[bisect_left(self._order, (_effective_speed(offer), upstream_id))]

    def choose(
        self, task: WaitingTask, now: float, exclude: frozenset[str] = frozenset()
    ) -> UpstreamOffer | None:
        """Return the offer on which a task should start, like the function ``choose``."""
        if task.data_rack or task.avoid:
            # Run times depend on more than the speed of the upstream.
            return choose(task, self._offers.values(), now, exclude)
        remaining_ms = (task.objective_at - now) * 1000 - OVERHEAD_MS
        offer = next(self._ranked(task, remaining_ms, exclude), None)
        return None if offer is None or should_wait(task, offer, remaining_ms) else offer

    def choose_apart(
        self,
        task: WaitingTask,
        now: float,
        exclude: frozenset[str],
        disturb: Callable[[UpstreamOffer], Disturbance],
    ) -> UpstreamOffer | None:
        """Return the offer on which a task should start, like the function ``choose_apart``."""
        remaining_ms = (task.objective_at - now) * 1000 - OVERHEAD_MS
        if task.data_rack or task.avoid:
            fitting = [
                offer
                for offer in self._offers.values()
                if fits(task, offer) and offer.upstream_id not in exclude
            ]
            fitting.sort(key=lambda offer: _rank(task, offer, remaining_ms))
            return choose_apart(task, fitting, now, disturb)
        return choose_apart(task, self._ranked(task, remaining_ms, exclude), now, disturb)

    def _ranked(
        self, task: WaitingTask, remaining_ms: float, exclude: frozenset[str]
    ) -> Iterator[UpstreamOffer]:
        """Yield the offers that a task fits, the best one first."""
        min_speed = (
            task.expected_ms * SAFETY_FACTOR / remaining_ms if remaining_ms > 0 else float("inf")
        )
        fast_enough = bisect_left(self._order, (min_speed, ""))
        for index in (*range(fast_enough, len(self._order)), *range(fast_enough - 1, -1, -1)):
            offer = self._offers[self._order[index][1]]
            if fits(task, offer) and offer.upstream_id not in exclude:
                yield offer


def _effective_speed(offer: UpstreamOffer) -> float:
    return offer.speed / (1 + offer.failures)


class QueuedJob(NamedTuple):
    """A job with tasks that could start: the fields that determine the order of service.

    Args:
        objective_at: Time by which the job should complete, in seconds.
        expires_at: Time after which its result is useless to the caller, in seconds.
        expected_ms: Expected run time of its critical path at speed 1, in milliseconds.
        arrival_number: Number of the job in order of arrival.
    """

    objective_at: float
    expires_at: float
    expected_ms: float
    arrival_number: int


def order_key(job: QueuedJob, now: float) -> tuple[int, float, int]:
    """Return the sort key of a waiting job; the job with the lowest key is served first.

    Jobs that can still meet their objective come first, by the latest time at which they must
    start. They are followed by jobs that can only be late, those with the least work first, and
    then by accepted jobs that cannot complete before they expire.
    """
    needed_s = (job.expected_ms + OVERHEAD_MS) / 1000
    start_by = job.objective_at - needed_s
    if now <= start_by:
        return (0, start_by, job.arrival_number)
    if now + needed_s <= job.expires_at:
        return (1, job.expected_ms, job.arrival_number)
    return (2, job.objective_at, job.arrival_number)
