"""Applies the placement decisions to the leader's tables."""

from collections import Counter

from kumquatlift.authority._commands import TaskKey
from kumquatlift.authority._fleet import Room, Upstream, size_of
from kumquatlift.authority._load import LoadMeter
from kumquatlift.authority._placement import (
    OffersBySpeed,
    QueuedJob,
    UpstreamOffer,
    WaitingTask,
    order_key,
)
from kumquatlift.authority._progress import Progress
from kumquatlift.authority._runs import Runs
from kumquatlift.authority._work import Step
from kumquatlift.clock import Clock
from kumquatlift.log import get_logger

# A task waits for a fast upstream no longer than this after its job was accepted: half of the time
# after which the platform misses a task that could run.
MAX_FAST_WAIT_S = 1.5
# Jobs that cannot be placed are skipped so that smaller ones behind them may start; this bounds the
# work of one pass when much waits and little is free.
MAX_SKIPPED = 20


class Scheduler:
    """Starts waiting tasks.

    Args:
        fleet: Upstreams by identity.
        progress: Open jobs by identity.
        runs: Runs of all tasks.
        meter: Speeds of the upstreams.
        clock: Source of time.
        remote_factor: Run time on another rack than the data's, as a multiple.
    """

    def __init__(
        self,
        *,
        fleet: dict[str, Upstream],
        progress: dict[str, Progress],
        runs: Runs,
        meter: LoadMeter,
        clock: Clock,
        remote_factor: float,
    ) -> None:
        self._fleet = fleet
        self._meter = meter
        self._progress = progress
        self._runs = runs
        self._clock = clock
        self._remote_factor = remote_factor

    def run(self) -> None:
        """Start as many waiting tasks as there is room for, in the order of the decisions."""
        self._runs.needs_placing = False
        now = self._clock.now()
        waiting = [each for each in self._progress.values() if each.waiting and each.queue]
        offers = self._offers(waiting, now) if waiting else {}
        if not offers:
            return
        waiting.sort(key=lambda each: order_key(queued_job(each), now))
        skipped: Counter[str] = Counter()
        for progress in waiting:
            service = progress.queue.service if progress.queue else ""
            free = offers.get(service)
            if not free or skipped[service] >= MAX_SKIPPED:
                continue
            placed = self._place_job(progress, free, now)
            if placed:
                get_logger().info(
                    "tasks_placed",
                    job=progress.job.job_id,
                    tasks=len(placed),
                    waiting=len(progress.waiting),
                    upstreams=",".join(placed),
                    slack_ms=round((progress.objective_at - now) * 1000),
                )
            else:
                skipped[service] += 1

    def _offers(self, waiting: list[Progress], now: float) -> dict[str, OffersBySpeed]:
        """Return the upstreams with room for the smallest task that waits, by service."""
        least_milli = min(
            size_of(step).cpu_milli for each in waiting for step in each.job.spec.steps
        )
        found: dict[str, list[UpstreamOffer]] = {}
        for upstream in self._fleet.values():
            room = upstream.room
            is_full = room.cpu_milli <= 0 and room.memory_mb <= 0
            if is_full or room.cpu_milli < least_milli or not upstream.is_usable(now):
                continue
            state = upstream.state
            offer = UpstreamOffer(
                state.upstream_id,
                *room,
                upstream.speed,
                state.labels,
                state.rack,
                upstream.failures,
            )
            found.setdefault(state.service, []).append(offer)
        return {service: OffersBySpeed(offers) for service, offers in found.items()}

    def _place_job(self, progress: Progress, free: OffersBySpeed, now: float) -> list[str]:
        """Start what fits of a job; return the upstreams that got its tasks."""
        placed: list[str] = []
        seen_gangs: set[tuple[int, int]] = set()
        for task in list(progress.waiting):
            step = progress.job.spec.steps[task.step]
            if task in self._runs.orphans:
                continue
            if step.is_gang:
                gang = (task.occurrence, task.step)
                if gang not in seen_gangs:
                    seen_gangs.add(gang)
                    placed += self._place_gang(progress, gang, free, now)
                continue
            offer = self._choose(progress, task, step, free, now)
            if offer is None:
                # The other tasks of the step have the same size.
                break
            self._start(progress, task, step, offer, free, progress.next_run(task))
            placed.append(offer.upstream_id)
        return placed

    def _choose(
        self, progress: Progress, task: TaskKey, step: Step, free: OffersBySpeed, now: float
    ) -> UpstreamOffer | None:
        queue = progress.queue
        may_wait = now - progress.accepted_at < MAX_FAST_WAIT_S
        need = WaitingTask(
            *size_of(step),
            progress.expected_ms[task.step],
            progress.objective_at,
            step.label,
            step.data_rack,
            self._remote_factor,
            progress.avoid.get(task, frozenset()),
            self._meter.fast_speed(queue.service) if queue and may_wait else 0.0,
        )
        exclude: frozenset[str] = frozenset()
        if step.max_per_upstream:
            used = Counter(
                upstream_id
                for other, upstream_id in progress.running.items()
                if other.step == task.step and other.occurrence == task.occurrence
            )
            exclude = frozenset(
                upstream_id for upstream_id, count in used.items() if count >= step.max_per_upstream
            )
        return free.choose(need, now, exclude)

    def _place_gang(
        self, progress: Progress, gang: tuple[int, int], free: OffersBySpeed, now: float
    ) -> list[str]:
        """Start all members of a gang with one run number, or none."""
        members = [task for task in progress.waiting if (task.occurrence, task.step) == gang]
        step = progress.job.spec.steps[gang[1]]
        if len(members) < step.tasks:
            return []
        trial = free.copy()
        chosen: list[tuple[TaskKey, UpstreamOffer]] = []
        for task in members:
            offer = self._choose(progress, task, step, trial, now)
            if offer is None:
                return []
            chosen.append((task, offer))
            trial.update(_without(offer, step))
        run = max(progress.next_run(task) for task in members)
        for task, offer in chosen:
            progress.record_run(task, run)
            self._start(progress, task, step, free[offer.upstream_id], free, run)
        return [offer.upstream_id for _, offer in chosen]

    def _start(
        self,
        progress: Progress,
        task: TaskKey,
        step: Step,
        offer: UpstreamOffer,
        free: OffersBySpeed,
        run: int,
    ) -> None:
        free.update(_without(offer, step))
        self._runs.start(progress, task, self._fleet[offer.upstream_id], run)


def _without(offer: UpstreamOffer, step: Step) -> UpstreamOffer:
    remaining = Room(offer.cpu_milli, offer.memory_mb, offer.gpus).without(size_of(step))
    return offer._replace(
        cpu_milli=remaining.cpu_milli, memory_mb=remaining.memory_mb, gpus=remaining.gpus
    )


def queued_job(progress: Progress) -> QueuedJob:
    """Return what decides the place of a job in the order of service."""
    return QueuedJob(
        progress.objective_at,
        progress.expires_at,
        progress.critical_path_ms,
        progress.arrival_number,
    )
