"""Decides whether a submitted job is taken: a pure function of the load and a clock.

Load pattern: a burst of 1.3 to 1.8 times the usual load for some seconds. Without a limit the queue
grows until every job misses its objective; with it, jobs that are taken are served in time, and the
others learn at once when to come back.
"""

from typing import NamedTuple

# A job is taken while it is expected to be complete by its objective plus this share of the time
# until it is of no use. With 0.6 the burst of 1.8 in tools/experiment.py makes twice as many late.
ACCEPTED_LATENESS_SHARE = 0.0
# While more than this share of the jobs that were taken ends late, the estimates are too hopeful,
# and more time has to be in hand: the gain times the excess, as a share of the objective, up to a
# limit. Gains of 2 and 4 serve less in the bursts of tools/experiment.py, and all three leave the
# usual load as it is.
LATE_SHARE_TARGET = 0.08
SAFETY_MARGIN_GAIN = 8.0
MAX_SAFETY_MARGIN = 0.8
# The safety margin is at most this many times the expected wait: an estimate of a few milliseconds
# may be wrong by much and still leave time. Of 5, 10, 20 and 40 in tools/experiment.py, 10 serves
# as much in a burst as no bound at all, and more while upstreams are silent.
MAX_MARGIN_PER_WAIT = 10.0
# Weight of the newest ended job in that share; about the last thirty count.
LATE_WEIGHT = 0.03
# Returning callers are spread over this share of the wait, so that they do not come back together.
RETRY_SPREAD = 0.5
MIN_RETRY_MS = 100


class Load(NamedTuple):
    """What waits and runs for a service.

    Args:
        slots: Tasks of the usual size that the usable upstreams can run at a time.
        speed: Mean speed of the usable upstreams.
        backlog_ms: Run time at speed 1 of all tasks that wait before the new job, and of what is
            left of those that run.
        recovery_ms: Time for which a new leader starts nothing.
        order_ms: Time that orders and news of ends take now, for one run.
    """

    slots: float
    speed: float
    backlog_ms: float
    recovery_ms: float = 0.0
    order_ms: float = 0.0


class LateShare:
    """Share of the accepted jobs that end late, and the safety margin that follows from it."""

    def __init__(self) -> None:
        self._share = 0.0

    def record_end(self, is_late: bool) -> None:
        """Take note of a job that ended."""
        self._share += LATE_WEIGHT * (float(is_late) - self._share)

    @property
    def safety_margin(self) -> float:
        """Share of its objective that a job must have in hand."""
        excess = self._share - LATE_SHARE_TARGET
        return min(MAX_SAFETY_MARGIN, max(0.0, SAFETY_MARGIN_GAIN * excess))


class AdmissionRequest(NamedTuple):
    """A job that asks to be taken.

    Args:
        work_ms: Run time of all its tasks together at speed 1.
        critical_path_ms: Run time of its longest path of dependent steps at speed 1.
        objective_ms: Time in which it should be complete.
        expiry_ms: Time after which it is of no use.
    """

    work_ms: float
    critical_path_ms: float
    objective_ms: float
    expiry_ms: float


class AdmissionDecision(NamedTuple):
    """Whether a job is taken.

    Args:
        is_accepted: Whether it is.
        wait_ms: Time that it is expected to wait for room.
        retry_after_ms: When the caller should come back, if it is not taken.
    """

    is_accepted: bool
    wait_ms: float
    retry_after_ms: int = 0


def decide_admission(
    request: AdmissionRequest, load: Load, spread: float, safety_margin: float = 0.0
) -> AdmissionDecision:
    """Return whether a job is taken.

    Args:
        request: The job.
        load: The load of its service.
        spread: A number from 0 to 1 that differs from caller to caller.
        safety_margin: Share of its objective that the job must have in hand if it has to wait long.
    """
    if load.slots <= 0:
        return AdmissionDecision(False, request.expiry_ms, retry_after(request.expiry_ms, spread))
    queue_ms = load.backlog_ms / (load.slots * load.speed)
    wait_ms = load.recovery_ms + queue_ms
    finish_ms = wait_ms + load.order_ms + request.critical_path_ms / load.speed
    limit_ms = request.objective_ms + ACCEPTED_LATENESS_SHARE * (
        request.expiry_ms - request.objective_ms
    )
    limit_ms -= safety_margin * min(request.objective_ms, MAX_MARGIN_PER_WAIT * queue_ms)
    if finish_ms <= limit_ms:
        return AdmissionDecision(True, wait_ms)
    excess_ms = finish_ms - request.objective_ms
    return AdmissionDecision(False, wait_ms, retry_after(excess_ms, spread))


def retry_after(excess_ms: float, spread: float) -> int:
    """Return when a caller should come back, in milliseconds.

    Args:
        excess_ms: Time after which the present load will have passed.
        spread: A number from 0 to 1 that differs from caller to caller.
    """
    return int(max(MIN_RETRY_MS, excess_ms * (1 + RETRY_SPREAD * spread)))
