"""Starts waiting tasks on the upstreams that the placement functions choose."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from kumquatlift.authority._commands import TaskKey
from kumquatlift.authority._fleet import Resources, Upstream, size_of
from kumquatlift.authority._interference import Disturbance, Interference, disturbance
from kumquatlift.authority._load import LoadMeter
from kumquatlift.authority._offer_index import OfferIndex, offer_of
from kumquatlift.authority._placement import (
    OffersBySpeed,
    QueuedJob,
    UpstreamOffer,
    WaitingTask,
    order_key,
)
from kumquatlift.authority._progress import Need, Progress
from kumquatlift.authority._runs import Runs
from kumquatlift.authority._work import Step
from kumquatlift.blackboard import Section
from kumquatlift.clock import Clock
from kumquatlift.log import get_logger

# Time after the acceptance of a job for which its tasks may wait for a fast upstream: half of the
# time within which the platform requires that tasks start if resources are free.
MAX_FAST_WAIT_S = 1.5
# Jobs that can't be placed are skipped, so that others behind them can start. After this many that
# need the same, further ones of that need are not tried in the same pass.
MAX_SKIPPED_ALIKE = 20
# Limit for all jobs of a service that are skipped in one pass, which bounds its work when jobs have
# very many different needs.
MAX_SKIPPED = 200


class SkippedJobs:
    """The jobs of a service that could not be placed in one pass, by what they need.

    Load pattern: many jobs wait for what is gone, such as the only upstreams with a label, and
    stand before jobs for which there is room.
    """

    def __init__(self) -> None:
        self._by_need: Counter[Need] = Counter()
        self._exhausted: set[Need] = set()
        self._jobs = 0

    def add(self, progress: Progress) -> None:
        """Add a job of which no task could be placed."""
        self._jobs += 1
        for need in progress.waiting_needs():
            self._by_need[need] += 1
            if self._by_need[need] >= MAX_SKIPPED_ALIKE:
                self._exhausted.add(need)

    def is_hopeless(self, progress: Progress) -> bool:
        """Return whether a job is not tried in this pass."""
        if self._jobs >= MAX_SKIPPED:
            return True
        return bool(self._exhausted) and progress.waiting_needs() <= self._exhausted


class Scheduler:
    """Starts waiting tasks.

    Args:
        fleet: Upstreams by identity.
        offer_index: Their offers.
        progress: Open jobs by identity.
        runs: Runs of all tasks.
        meter: Provides the speed of the fast upstreams of a service.
        clock: Source of time.
        remote_factor: Factor by which the run time of a task grows on another rack than its data's.
        section: Section of the blackboard.
        interference: The queues that are kept apart; None if none are.
    """

    def __init__(
        self,
        *,
        fleet: dict[str, Upstream],
        offer_index: OfferIndex,
        progress: dict[str, Progress],
        runs: Runs,
        meter: LoadMeter,
        clock: Clock,
        remote_factor: float,
        section: Section,
        interference: Interference | None = None,
    ) -> None:
        self._fleet = fleet
        self._offer_index = offer_index
        self._meter = meter
        self._progress = progress
        self._runs = runs
        self._clock = clock
        self._remote_factor = remote_factor
        self._section = section
        self._interference = interference

    def run(self) -> None:
        """Start as many waiting tasks as free resources allow, in the order of ``order_key``."""
        self._runs.needs_placing = False
        now = self._clock.now()
        waiting = [each for each in self._progress.values() if each.waiting and each.queue]
        if not waiting:
            return
        least_milli = min(
            size_of(step).cpu_milli for each in waiting for step in each.job.spec.steps
        )
        offers_by_service = self._offer_index.offers(now, least_milli)
        if not any(offers_by_service.values()):
            return
        waiting.sort(key=lambda each: order_key(queued_job(each), now))
        skipped_jobs: defaultdict[str, SkippedJobs] = defaultdict(SkippedJobs)
        for progress in waiting:
            service = progress.queue.service if progress.queue else ""
            offers = offers_by_service.get(service)
            skipped = skipped_jobs[service]
            if not offers or skipped.is_hopeless(progress):
                continue
            placed = self._place_job(progress, offers, now)
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
                skipped.add(progress)

    def _place_job(self, progress: Progress, offers: OffersBySpeed, now: float) -> list[str]:
        """Start the tasks of a job that fit; return the upstreams on which they start."""
        placed: list[str] = []
        seen_gangs: set[tuple[int, int]] = set()
        steps = progress.job.spec.steps
        # Steps of which a task could not be placed; their other tasks need the same resources.
        blocked: set[int] = set()
        for task in list(progress.waiting):
            step = steps[task.step]
            if task.step in blocked or task in self._runs.orphans:
                continue
            if step.is_gang:
                gang = (task.occurrence, task.step)
                if gang not in seen_gangs:
                    seen_gangs.add(gang)
                    placed += self._place_gang(progress, gang, offers, now)
                continue
            offer = self._choose(progress, task, step, offers, now)
            if offer is None:
                blocked.add(task.step)
                if len(blocked) == len(steps):
                    break
                continue
            self._start(progress, task, step, offer, offers, progress.next_run(task))
            placed.append(offer.upstream_id)
        return placed

    def _choose(
        self,
        progress: Progress,
        task: TaskKey,
        step: Step,
        offers: OffersBySpeed,
        now: float,
        chosen: Iterable[str] = (),
    ) -> UpstreamOffer | None:
        """Return the offer on which a task starts, or None if it has to wait.

        Args:
            progress: Its job.
            task: The task.
            step: Its step.
            offers: All offers.
            now: Current time, in seconds.
            chosen: Upstreams on which other tasks of its step and occurrence start with it.
        """
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
            used.update(chosen)
            exclude = frozenset(
                upstream_id for upstream_id, count in used.items() if count >= step.max_per_upstream
            )
        offer = offers.choose(need, now, exclude)
        kind = progress.job.queue
        if offer is None or self._interference is None or kind not in self._interference.involved:
            return offer
        return self._choose_apart(kind, need, offer, offers, now, exclude)

    def _choose_apart(
        self,
        kind: str,
        need: WaitingTask,
        offer: UpstreamOffer,
        offers: OffersBySpeed,
        now: float,
        exclude: frozenset[str],
    ) -> UpstreamOffer:
        """Return the offer for a task of a queue that is kept apart from others.

        Args:
            kind: The queue.
            need: The task.
            offer: The offer on which it would start otherwise.
            offers: All offers.
            now: Current time, in seconds.
            exclude: Upstreams on which it may not start.
        """

        def disturb(offer: UpstreamOffer) -> Disturbance:
            company = self._fleet[offer.upstream_id].company
            if company is None or self._interference is None:
                return Disturbance()
            return disturbance(kind, company.present(), self._interference.apart)

        if disturb(offer).is_none:
            return offer
        apart = offers.choose_apart(need, now, exclude, disturb) or offer
        self._section.count("starts_apart" if disturb(apart).is_none else "starts_beside")
        return apart

    def _place_gang(
        self, progress: Progress, gang: tuple[int, int], offers: OffersBySpeed, now: float
    ) -> list[str]:
        """Start either all members of a gang, with one run number, or none."""
        members = [task for task in progress.waiting if (task.occurrence, task.step) == gang]
        step = progress.job.spec.steps[gang[1]]
        if len(members) < step.tasks:
            return []
        trial = offers.copy()
        chosen: list[tuple[TaskKey, UpstreamOffer]] = []
        for task in members:
            upstreams = [each.upstream_id for _, each in chosen]
            offer = self._choose(progress, task, step, trial, now, upstreams)
            if offer is None:
                return []
            chosen.append((task, offer))
            trial.update(_without(offer, step))
        run = max(progress.next_run(task) for task in members)
        for task, offer in chosen:
            progress.record_run(task, run)
            self._start(progress, task, step, offers[offer.upstream_id], offers, run)
        return [offer.upstream_id for _, offer in chosen]

    def _start(
        self,
        progress: Progress,
        task: TaskKey,
        step: Step,
        offer: UpstreamOffer,
        offers: OffersBySpeed,
        run: int,
    ) -> None:
        offers.update(_without(offer, step))
        upstream = self._fleet[offer.upstream_id]
        self._runs.start(progress, task, upstream, run)
        now = self._clock.now()
        if now < upstream.cold_until:
            # It offers less room once it has a run.
            offers.update(offer_of(upstream, now))


def _without(offer: UpstreamOffer, step: Step) -> UpstreamOffer:
    remaining = Resources(offer.cpu_milli, offer.memory_mb, offer.gpus).minus(size_of(step))
    return offer._replace(
        cpu_milli=remaining.cpu_milli, memory_mb=remaining.memory_mb, gpus=remaining.gpus
    )


def queued_job(progress: Progress) -> QueuedJob:
    """Return the fields of a job that determine the order of service."""
    return QueuedJob(
        progress.objective_at,
        progress.expires_at,
        progress.critical_path_ms,
        progress.arrival_number,
    )
