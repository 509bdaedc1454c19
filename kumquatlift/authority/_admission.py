"""Admission control: decides whether a submitted job is accepted, from the load of its service.

In a burst of 1.3 to 1.8 times the usual load, an unlimited queue grows until every job misses its
objective. With admission control, accepted jobs are completed in time, and the callers of refused
jobs are told at once when to try again.
"""

import math
from enum import StrEnum
from typing import NamedTuple

from kumquatlift.authority._shares import Usage

# A job is accepted if it is expected to complete by its objective plus this share of the time from
# its objective to its expiry. At 0, no job that is expected to be late is accepted; a share of 0.6
# doubles the number of late jobs in a burst.
ACCEPTED_LATENESS_SHARE = 0.0
# While more than this share of the accepted jobs ends late under load, the estimates are too
# optimistic, and admission demands a safety margin, given as a share of the objective: the excess
# over this target times the gain, up to the maximum. Lower gains serve fewer jobs in a burst; the
# usual load is not affected by the gain.
LATE_SHARE_TARGET = 0.08
SAFETY_MARGIN_GAIN = 8.0
MAX_SAFETY_MARGIN = 0.8
# The safety margin is at most this many times the expected time in the queue, so that jobs that
# hardly have to wait are not refused: even a large relative error of a wait of a few milliseconds
# does not make them late. Without this bound fewer jobs are served while upstreams are unreachable.
MAX_MARGIN_PER_WAIT = 10.0
# Weight of the newest job in the moving average of late jobs; covers about the last thirty.
LATE_WEIGHT = 0.03
# The time to retry varies by up to this share, so that refused callers do not return together.
RETRY_JITTER = 0.5
MIN_RETRY_MS = 100
# A flow that uses more than its share takes what the others leave, but does not fill the queue in
# which they wait: its jobs are accepted if they wait for at most this share of their slack.
OVER_SHARE_SLACK = 0.25
# Usage of a flow in a service whose capacity is not shared.
UNSHARED = Usage(0.0, 0.0, math.inf)
# Speed of a usual upstream, to which estimates of run times refer.
USUAL_SPEED = 1.0


class Load(NamedTuple):
    """Load of a service.

    Args:
        slots: Number of tasks of the job's size that the usable upstreams can run at a time.
        speed: Mean speed of the usable upstreams.
        backlog_ms: Run time at speed 1 of all tasks that wait before the new job, in milliseconds.
        queued_ms: The same of all tasks that wait, in milliseconds.
        start_ms: Expected time until running tasks have freed the resources for the job, in
            milliseconds; 0 if they are free.
        recovery_ms: Time until a new leader may start tasks, in milliseconds; 0 after recovery.
        order_ms: Current latency of the start order and the completion report of one run, in
            milliseconds.
        is_idle: Whether nothing waits and nothing runs on the usable upstreams.
        speed_age_s: Mean time since the speeds of the usable upstreams were last updated, in
            seconds.
        late_jobs_age_s: Time since the safety margin was last updated, in seconds.
    """

    slots: float
    speed: float
    backlog_ms: float
    queued_ms: float = 0.0
    start_ms: float = 0.0
    recovery_ms: float = 0.0
    order_ms: float = 0.0
    is_idle: bool = False
    speed_age_s: float = 0.0
    late_jobs_age_s: float = 0.0


class RefusalCause(StrEnum):
    """What a refused job would have to wait for the longest."""

    NONE = ""
    NO_UPSTREAM = "no upstream is usable"
    RECOVERY = "the leader is new and waits for earlier leases"
    LEADER_BUSY = "the leader's processor is busy"
    UPSTREAMS_BUSY = "the upstreams are busy"
    OVER_SHARE = "the upstreams are busy, and the queue uses more than its share of them"


class LateShare:
    """Moving average of the share of accepted jobs that end late under load.

    It sets the safety margin. A job that is late because an upstream answered late or not at all
    does not count, as refusing the jobs of the others would not make it faster.
    """

    def __init__(self) -> None:
        self._share = 0.0
        # Time of the newest end; None before the first.
        self.recorded_at: float | None = None

    def record_end(self, is_late: bool, now: float) -> None:
        """Record that an accepted job has ended now.

        Args:
            is_late: Whether it ended late under load.
            now: Current time, in seconds.
        """
        self._share += LATE_WEIGHT * (float(is_late) - self._share)
        self.recorded_at = now

    @property
    def safety_margin(self) -> float:
        """Share of its objective by which a job must be expected to complete early."""
        excess = self._share - LATE_SHARE_TARGET
        return min(MAX_SAFETY_MARGIN, max(0.0, SAFETY_MARGIN_GAIN * excess))


class AdmissionRequest(NamedTuple):
    """A job to decide on.

    Args:
        work_ms: Total run time of its tasks at speed 1, in milliseconds.
        critical_path_ms: Run time of its critical path at speed 1, in milliseconds.
        objective_ms: Time from submission in which it should complete, in milliseconds.
        expiry_ms: Time from submission after which its result is useless, in milliseconds.
    """

    work_ms: float
    critical_path_ms: float
    objective_ms: float
    expiry_ms: float


class Estimate(NamedTuple):
    """What a decision on a job rests on, for the log.

    Args:
        finish_ms: Expected time from submission to completion, in milliseconds.
        limit_ms: Longest expected time with which the job is accepted, in milliseconds.
        speed: Speed of the upstreams that the estimate assumes.
        safety_margin: Share of the objective that is taken off the limit while jobs end late.
        load: Load of the service.
        usage: What the job's flow uses, and its share.
    """

    finish_ms: float
    limit_ms: float
    speed: float
    safety_margin: float
    load: Load
    usage: Usage


class AdmissionDecision(NamedTuple):
    """Whether a job is accepted.

    Args:
        is_accepted: Whether the job is accepted.
        wait_ms: Time that it is expected to wait for free resources, in milliseconds.
        estimate: What the decision rests on.
        retry_after_ms: Time after which the caller should retry a refused job, in milliseconds.
        cause: Why a job is refused.
    """

    is_accepted: bool
    wait_ms: float
    estimate: Estimate
    retry_after_ms: int = 0
    cause: RefusalCause = RefusalCause.NONE


def decide_admission(
    request: AdmissionRequest,
    load: Load,
    jitter: float,
    safety_margin: float = 0.0,
    usage: Usage = UNSHARED,
) -> AdmissionDecision:
    """Decide whether a job is accepted.

    Args:
        request: The job.
        load: Load of its service.
        jitter: Random number from 0 to 1 that varies the time to retry.
        safety_margin: Share of its objective by which the job must be expected to complete early;
            bounded by a multiple of its expected time in the queue.
        usage: What the job's flow uses, and its share.

    Returns:
        The decision.
    """
    if load.slots <= 0:
        wait_ms = request.expiry_ms
        estimate = Estimate(wait_ms, request.objective_ms, 0.0, safety_margin, load, usage)
        retry_ms = retry_after(wait_ms, jitter)
        return AdmissionDecision(False, wait_ms, estimate, retry_ms, RefusalCause.NO_UPSTREAM)
    # Idle upstreams count as usual ones: without runs, a low speed that was learned during a fault
    # would be kept, and with it the refusals.
    speed = max(load.speed, USUAL_SPEED) if load.is_idle else load.speed
    queue_ms = load.backlog_ms / (load.slots * speed) + load.start_ms
    wait_ms = load.recovery_ms + queue_ms
    run_ms = load.order_ms + request.critical_path_ms / speed
    finish_ms = wait_ms + run_ms
    limit_ms = request.objective_ms + ACCEPTED_LATENESS_SHARE * (
        request.expiry_ms - request.objective_ms
    )
    limit_ms -= safety_margin * min(request.objective_ms, MAX_MARGIN_PER_WAIT * queue_ms)
    estimate = Estimate(finish_ms, limit_ms, speed, safety_margin, load, usage)
    slack_ms = request.objective_ms - run_ms
    if usage.is_over_share and _whole_wait_ms(load, speed) > OVER_SHARE_SLACK * slack_ms:
        retry_ms = retry_after(1000 * usage.return_s, jitter)
        return AdmissionDecision(False, wait_ms, estimate, retry_ms, RefusalCause.OVER_SHARE)
    if finish_ms <= limit_ms:
        return AdmissionDecision(True, wait_ms, estimate)
    excess_ms = finish_ms - request.objective_ms
    slowness_ms = request.critical_path_ms / speed - request.critical_path_ms
    cause = _cause(load.recovery_ms, load.order_ms, queue_ms + max(0.0, slowness_ms))
    return AdmissionDecision(False, wait_ms, estimate, retry_after(excess_ms, jitter), cause)


def _whole_wait_ms(load: Load, speed: float) -> float:
    """Return the expected wait behind all jobs that wait, in milliseconds; 0 with free resources.

    A job of a flow over its share counts those that are served after it as well, which it would
    delay.
    """
    return load.queued_ms / (load.slots * speed) + load.start_ms if load.start_ms else 0.0


def _cause(recovery_ms: float, order_ms: float, upstreams_ms: float) -> RefusalCause:
    """Return which of three parts of a job's expected time is the longest."""
    longest_ms = max(recovery_ms, order_ms, upstreams_ms)
    if upstreams_ms == longest_ms:
        return RefusalCause.UPSTREAMS_BUSY
    return RefusalCause.LEADER_BUSY if order_ms == longest_ms else RefusalCause.RECOVERY


def retry_after(excess_ms: float, jitter: float) -> int:
    """Return the time after which a caller should retry, in milliseconds.

    Args:
        excess_ms: Time until the present load will have been worked off, in milliseconds.
        jitter: Random number from 0 to 1 that varies the result.
    """
    return int(max(MIN_RETRY_MS, excess_ms * (1 + RETRY_JITTER * jitter)))
