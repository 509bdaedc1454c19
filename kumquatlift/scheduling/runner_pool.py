"""Runners of one service in one zone, and their order of preference."""

from collections.abc import Iterator
from typing import NamedTuple

from kumquatlift.configuration.document import Service
from kumquatlift.scheduling.run_times import RunTimes
from kumquatlift.scheduling.runner_health import HealthPolicy, RunnerHealth

ANNOUNCEMENT_MAX_AGE_S = 2.0
"""Slots of a runner are granted for at most this long after its last announcement."""
REFUSAL_BACKOFF_S = 0.1
"""Backoff after a refusal without Retry-After; about one run time."""
MAX_BACKOFF_S = 30.0
"""Largest Retry-After of a runner that is respected."""
_ORDER_MAX_AGE_S = 0.02
"""Time for which the order of preference is cached, which limits the cost of sorting."""
_STALL_SLOWDOWN = 8.0
"""Factor on the slowness of a runner that appears to have stalled."""
FAILURE_PENALTY, FAILURE_MESSAGE_PENALTY = 8.0, 24.0
"""Weights of the failure rate in the slowness of a runner, without and with message weight. The
penalty for a failure rate of 10 % makes a runner count as 1.8 times slower at message weight 0 and
as 4.2 times slower at 1. It is not 0 at weight 0, because a failure ends a job whose kind is not
repeatable."""
_BUSY_REPORT_DELAY_S = 0.1
"""Time after which a started request is included in the number of busy slots that the runner
reports."""


class RunnerOffer(NamedTuple):
    """Announcement of a runner's slots.

    Args:
        runner: Runner name.
        incarnation: Random id of the runner's current process.
        address: Address as "ip:port".
        worker: Machine that the runner runs on.
        slots: Number of requests that the runner can run concurrently.
        connections: Number of connections that the runner accepts.
        busy: Number of slots in use, as the runner reports.
        is_leaving: Whether the runner is shutting down gracefully.
    """

    runner: str
    incarnation: str
    address: str
    worker: str
    slots: int
    connections: int
    busy: int = 0
    is_leaving: bool = False


class RunningRequest(NamedTuple):
    """A slot in use.

    Args:
        expected_s: Expected run time on an average runner, in seconds.
        started_at: Start of the request, in monotonic seconds; 0 before the start, or if its end
            will not be reported.
    """

    expected_s: float
    started_at: float


class RunnerState:
    """One incarnation of a runner.

    Args:
        offer: Last announcement.
        health: Health of the runner.
        now: Monotonic seconds.
        previous_owner_until: When the grants of a previous owner have ended at the latest, in
            monotonic seconds.

    Attributes:
        progress_at: When a request last ended or, if none has ended since the runner was idle, when
            the first one started, in monotonic seconds.
        backoff_until: When the runner may be used again after a refusal, in monotonic seconds.
        is_probed: Whether the runner gets one request at a time, because it refused one and has
            completed none since.
        running: Slots in use by grant id.
    """

    def __init__(
        self, *, offer: RunnerOffer, health: RunnerHealth, now: float, previous_owner_until: float
    ) -> None:
        self.offer = offer
        self.health = health
        self.announced_at = now
        self.progress_at = now
        self.backoff_until = 0.0
        self.is_probed = False
        self.running: dict[str, RunningRequest] = {}
        self._previous_owner_slots = offer.busy
        self._previous_owner_until = previous_owner_until

    def update(self, offer: RunnerOffer, now: float) -> None:
        """Apply a newer announcement of the same incarnation."""
        self.offer = offer
        self.announced_at = now
        reported = sum(
            0 < req.started_at <= now - _BUSY_REPORT_DELAY_S for req in self.running.values()
        )
        self._previous_owner_slots = min(self._previous_owner_slots, max(0, offer.busy - reported))

    def previous_owner_slots(self, now: float) -> int:
        """Return the number of slots in use by grants of a previous owner."""
        return self._previous_owner_slots if now < self._previous_owner_until else 0

    def started(self, grant_id: str, now: float) -> None:
        """Record that a request was sent to the runner."""
        if not any(req.started_at for req in self.running.values()):
            self.progress_at = now
        self.running[grant_id] = self.running[grant_id]._replace(started_at=now)

    def exclude_from_stall_check(self, grant_id: str) -> None:
        """Ignore a request in ``is_stalled``, because its requester is unreachable."""
        self.running[grant_id] = self.running[grant_id]._replace(started_at=0.0)

    def is_stalled(self, slowness: float, now: float) -> bool:
        """Whether no request ended for so long that the runner has probably stalled.

        With b requests running, the expected time to the next end is the run time / b. The
        threshold is b + 4 times that, which a healthy runner rarely exceeds. A single request is
        not enough evidence, since a few tasks run very long.
        """
        started = [req.expected_s for req in self.running.values() if req.started_at]
        if len(started) < 2:
            return False
        expected_s = slowness * sum(started) / len(started)
        return now - self.progress_at > expected_s * (1 + 4 / len(started))


class RankedRunner(NamedTuple):
    """A runner in the order of preference.

    Args:
        state: The runner.
        slowness: Effective run time relative to the average runner's.
        slots: Number of requests that the runner may run concurrently.
        faster_slots: Total slots of the runners that precede it in the order.
        faster_speed: Sum of those slots, each divided by the slowness of its runner.
    """

    state: RunnerState
    slowness: float
    slots: int
    faster_slots: int
    faster_speed: float


class RunnerPool:
    """Runners of one service in one zone, in order of preference.

    Args:
        service: Configuration of the service.
        run_times: Observed run times.
    """

    def __init__(self, *, service: Service, run_times: RunTimes) -> None:
        self.service = service
        self._run_times = run_times
        self._states: dict[str, RunnerState] = {}
        self._order: list[RankedRunner] = []
        self._order_until = 0.0
        self._ignores_quarantine = False
        self._has_quarantined = False

    def __len__(self) -> int:
        return len(self._states)

    def __iter__(self) -> Iterator[RunnerState]:
        return iter(self._states.values())

    def reconfigure(self, service: Service) -> None:
        """Apply another configuration."""
        self.service = service
        for state in self:
            state.health.policy = HealthPolicy.for_weight(service.message_weight)
        self.invalidate()

    def offer(self, offer: RunnerOffer, now: float) -> None:
        """Add or refresh a runner."""
        state = self._states.get(offer.runner)
        if state is not None and state.offer.incarnation == offer.incarnation:
            if state.offer != offer._replace(busy=state.offer.busy) or self._is_stale(state, now):
                self.invalidate()
            state.update(offer, now)
            return
        longest_s = max(kind.lease_ms for kind in self.service.kinds.values()) / 1000 + 1
        self._states[offer.runner] = RunnerState(
            offer=offer,
            health=RunnerHealth(policy=HealthPolicy.for_weight(self.service.message_weight)),
            now=now,
            previous_owner_until=now + longest_s,
        )
        self.invalidate()

    def withdraw(self, runner: str) -> None:
        """Remove a runner; slots in use keep their reference to its state."""
        self._states.pop(runner, None)
        self.invalidate()

    def invalidate(self) -> None:
        """Discard the cached order of preference."""
        self._order_until = 0.0

    def order(self, now: float) -> list[RankedRunner]:
        """Return the usable runners, most preferred first."""
        if now >= self._order_until:
            self._order = self._ranked(now)
            self._order_until = now + _ORDER_MAX_AGE_S
        return self._order

    def capacity(self, state: RunnerState) -> int:
        """Return the number of requests that a runner may run concurrently."""
        offer, cfg = state.offer, self.service
        return min(offer.slots, offer.connections, cfg.slots, cfg.connections)

    def free(self, state: RunnerState, now: float) -> int:
        """Return the number of free slots of a runner; 0 if it must not be used at the moment."""
        unused = self.capacity(state) - len(state.running)
        if unused <= 0 or state.offer.is_leaving or now < state.backoff_until:
            return 0
        if self._is_stale(state, now):
            return 0
        if state.is_probed:
            # After a refusal, the runner gets one request at a time until one succeeds.
            return 0 if state.running else 1
        return max(0, unused - state.previous_owner_slots(now))

    def trial(self, now: float) -> RunnerState | None:
        """Return a quarantined runner that may get a trial request, or None."""
        if self._ignores_quarantine or not self._has_quarantined:
            return None
        for state in self._states.values():
            if state.health.may_start_trial(now) and self.free(state, now):
                return state
        return None

    def next_trial_at(self) -> float:
        """Return when the next quarantine ends, in monotonic seconds; infinity if there is none."""
        ends = (state.health.quarantined_until for state in self if state.health.is_quarantined)
        return min(ends, default=float("inf"))

    def speed(self, now: float) -> float:
        """Return the sum of the usable slots, each divided by the slowness of its runner."""
        order = self.order(now)
        if not order:
            return 0.0
        last = order[-1]
        return last.faster_speed + last.slots / last.slowness

    def snapshot(self, now: float) -> dict[str, object]:
        """Return the runners for the state dump."""
        return {
            name: {
                "address": state.offer.address,
                "worker": state.offer.worker,
                "slots": self.capacity(state),
                "running": len(state.running),
                "foreign": state.previous_owner_slots(now),
                "is_leaving": state.offer.is_leaving,
                "is_out": state.health.is_quarantined,
                "failure_rate": round(state.health.failure_rate(now), 3),
                "slowness": round(self._slowness(state, now), 3),
                "age_s": round(now - state.announced_at, 3),
            }
            for name, state in sorted(self._states.items())
        }

    def _is_stale(self, state: RunnerState, now: float) -> bool:
        return now - state.announced_at > ANNOUNCEMENT_MAX_AGE_S

    def _ranked(self, now: float) -> list[RankedRunner]:
        present = [
            state for state in self if not state.offer.is_leaving and not self._is_stale(state, now)
        ]
        quarantined = sum(state.health.is_quarantined for state in present)
        # A fault of most runners at once has a common cause elsewhere, so quarantines are ignored.
        self._has_quarantined = quarantined > 0
        self._ignores_quarantine = 2 * quarantined > len(present)
        usable = [
            state
            for state in present
            if self._ignores_quarantine or not state.health.is_quarantined
        ]
        by_slowness = sorted(
            ((self._slowness(state, now), state) for state in usable), key=lambda item: item[0]
        )
        ranked: list[RankedRunner] = []
        slots, speed = 0, 0.0
        for slowness, state in by_slowness:
            capacity = self.capacity(state)
            ranked.append(RankedRunner(state, slowness, capacity, slots, speed))
            slots += capacity
            speed += capacity / slowness
        return ranked

    def _slowness(self, state: RunnerState, now: float) -> float:
        slowness = self._run_times.slowness(state.offer.runner, now)
        if state.is_stalled(slowness, now):
            slowness *= _STALL_SLOWDOWN
        rate = min(state.health.failure_rate(now), 0.9)
        # 1 / (1 - rate) attempts are needed on average; the last factor penalizes failures.
        penalty = FAILURE_PENALTY + FAILURE_MESSAGE_PENALTY * self.service.message_weight
        return slowness / (1 - rate) * (1 + penalty * rate)
