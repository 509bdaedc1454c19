"""Sends start and stop orders of runs, and repeats them until their outcome is known."""

import math
from collections.abc import Callable
from functools import partial

from kumquatlift.authority._fleet import Run, RunState, Upstream, ref_of
from kumquatlift.authority._orders import (
    MAX_ORDER_TIMEOUT_S,
    ORDER_TIMEOUT_S,
    OrderAnswer,
    OrderResult,
    StartOrder,
    StopOrder,
    UpstreamGateway,
)
from kumquatlift.authority._work import Job
from kumquatlift.blackboard import Section
from kumquatlift.clock import Clock
from kumquatlift.log import get_logger
from kumquatlift.store import EventLoop

# Backoff after a refusal, by which an upstream reports that it is unhealthy; it doubles with each
# refusal in a row, from the first to the second value.
REFUSED_BACKOFF_S = 0.02
MAX_REFUSED_BACKOFF_S = 0.5
# Delay before an order without an answer is sent again.
RESEND_S = 0.005
# Interval at which a delayed order checks whether the upstream can be reached again.
UNREACHABLE_RESEND_S = 0.1
# Least weight of the newest answer in the moving average of answer times, which thus reflects about
# the last fifty answers of a busy leader.
ANSWER_WEIGHT = 0.02
# Answers that are older than this count little, however few have followed. The largest weight keeps
# a single slow answer of a leader with little to do from refusing jobs.
ANSWER_MEMORY_S = 0.2
MAX_ANSWER_WEIGHT = 0.2
# After this time without an answer, in which a busy leader gets hundreds, the mean answer time
# starts to decay; it falls to about 0 within the same time again.
ANSWER_FADE_S = 0.5
# Backoff after a start order that the upstream could not parse.
MALFORMED_BACKOFF_S = 1.0


class RunOrders:
    """Sends the orders for runs under one leader.

    Args:
        find_job: Finds a job by its identity, in the log or not.
        fleet: Upstreams by identity.
        gateway: Sends orders to upstreams.
        loop: Event loop; all methods run in its thread.
        clock: Source of time.
        lease_s: Returns the length of a lease that is sent now, in seconds.
        may_order: Returns whether this instance still leads with a lease.
        on_not_run: Is called with a run that certainly was not started, and the reason.
        on_all_lost: Is called with an upstream whose runs have certainly all ended, and the reason.
        section: Section of the blackboard.
    """

    def __init__(
        self,
        *,
        find_job: Callable[[str], Job | None],
        fleet: dict[str, Upstream],
        gateway: UpstreamGateway,
        loop: EventLoop,
        clock: Clock,
        lease_s: Callable[[], float],
        may_order: Callable[[], bool],
        on_not_run: Callable[[Upstream, Run, str], None],
        on_all_lost: Callable[[Upstream, str], None],
        section: Section,
    ) -> None:
        self._find_job = find_job
        self._fleet = fleet
        self._gateway = gateway
        self._loop = loop
        self._clock = clock
        self._lease_s = lease_s
        self._may_order = may_order
        self._on_not_run = on_not_run
        self._on_all_lost = on_all_lost
        self._section = section
        # Is called with each upstream that may have to be polled after an answer.
        self.on_change: Callable[[Upstream], None] = lambda upstream: None
        # Moving average of the time from a start order until its answer is handled.
        self.answer_ms = 0.0
        self._answered_at = clock.now()
        self._is_closed = False

    def fade_answers(self, seconds: float) -> None:
        """Decay the mean answer time while no answers arrive.

        Jobs are refused while the mean is high. Without accepted jobs there are no answers, so
        without the decay the mean, and with it the refusals, would never end.

        Args:
            seconds: Time since the last call, in seconds.
        """
        if self._clock.now() - self._answered_at > ANSWER_FADE_S:
            self.answer_ms *= max(0.0, 1 - seconds / ANSWER_FADE_S)

    def close(self) -> None:
        """Repeat no more orders; another leader has taken over."""
        self._is_closed = True

    def _call_later(self, seconds: float, function: Callable[[], None]) -> None:
        if not self._is_closed:
            self._loop.call_after(seconds, function)

    def start(self, upstream: Upstream, run: Run) -> None:
        """Send the start order of a run, and repeat it until its outcome is known."""
        job = self._find_job(run.task.job)
        if job is None:
            return
        if not self._may_order():
            self._call_later(UNREACHABLE_RESEND_S, partial(self._resend, upstream, run))
            return
        if upstream.is_evacuated:
            self._withdraw(upstream, run)
            return
        now = self._clock.now()
        order = StartOrder(
            run.task,
            run.number,
            job.spec.payload,
            upstream.extend_lease(self._lease_s(), now),
            job.checkpoint.get(run.task, ""),
            timeout_s=start_timeout_s(run.attempts),
        )
        run.attempts += 1
        self._gateway.start(ref_of(upstream), order, partial(self._on_started, upstream, run, now))

    def _withdraw(self, upstream: Upstream, run: Run) -> None:
        """Give up a start that isn't confirmed, as the zone of its upstream is emptied.

        The task could begin there long after the zone was emptied, by another order or by one that
        is on its way, so a stop bars the number of the run.
        """
        self._section.count("starts_withdrawn")
        if run.may_have_started:
            self.stop(upstream, run, "zone_evacuated")
        else:
            self._on_not_run(upstream, run, "zone_evacuated")

    def _on_started(
        self, upstream: Upstream, run: Run, sent_at: float, answer: OrderAnswer
    ) -> None:
        now = self._clock.now()
        upstream.record_clock(answer.clock_ms, now)
        if not self._is_current(upstream, run) or run.state is not RunState.STARTING:
            return
        if answer.result is OrderResult.OK:
            weight = answer_weight(now - self._answered_at)
            self.answer_ms += weight * ((now - sent_at) * 1000 - self.answer_ms)
            self._answered_at = now
            upstream.refusals = 0
            run.state = RunState.RUNNING
            run.confirmed_at = now
            run.percent_at = now
            self.on_change(upstream)
            return
        get_logger().info(
            "start_not_confirmed",
            task=str(run.task),
            run=run.number,
            upstream=upstream.state.upstream_id,
            result=answer.result.name.lower(),
            reason=answer.reason,
            waited_ms=round((now - sent_at) * 1000),
        )
        self._section.count(f"starts_{answer.result.name.lower()}")
        self._on_not_started(upstream, run, answer.result, now)

    def _on_not_started(
        self, upstream: Upstream, run: Run, result: OrderResult, now: float
    ) -> None:
        match result:
            case OrderResult.UNKNOWN | OrderResult.BORN_AGAIN:
                run.may_have_started = True
                if result is OrderResult.BORN_AGAIN:
                    upstream.is_replaced = True
                    upstream.unreachable_since = upstream.unreachable_since or now
                self._call_later(RESEND_S, partial(self._resend, upstream, run))
            case OrderResult.STALE_RUN:
                # The run has ended; the answer to the next poll lists its end.
                run.state = RunState.RUNNING
                run.confirmed_at = now
                self.on_change(upstream)
            case OrderResult.OTHER_LIFE:
                self._on_all_lost(upstream, "other_life")
            case OrderResult.NOT_SENT if run.may_have_started:
                self._call_later(RESEND_S, partial(self._resend, upstream, run))
            case _ if run.may_have_started:
                # An earlier order for the run may still be carried out, so a stop bars its number.
                run.state = RunState.STOPPING
                self._send_stop(upstream, run)
            case _:
                self._back_off(upstream, result, now)
                self._on_not_run(upstream, run, result.name.lower())

    def _back_off(self, upstream: Upstream, result: OrderResult, now: float) -> None:
        if result is OrderResult.NOT_SENT:
            upstream.unreachable_since = upstream.unreachable_since or now
            upstream.next_poll_at = now
        elif result is OrderResult.MALFORMED:
            upstream.backoff_until = now + MALFORMED_BACKOFF_S
        elif result is OrderResult.NO_ROOM:
            # The free resources that this leader assumes are wrong until the next list of runs.
            upstream.is_known = False
        elif now >= upstream.backoff_until:
            # Orders that were sent together are refused together, which counts once.
            backoff_s = min(MAX_REFUSED_BACKOFF_S, REFUSED_BACKOFF_S * 2**upstream.refusals)
            upstream.refusals += 1
            upstream.backoff_until = now + backoff_s
        self.on_change(upstream)

    def _resend(self, upstream: Upstream, run: Run) -> None:
        if not self._is_current(upstream, run) or run.state is not RunState.STARTING:
            return
        if upstream.unreachable_since is not None:
            # Either it becomes reachable again, or its lease ends and the run is removed.
            self._call_later(UNREACHABLE_RESEND_S, partial(self._resend, upstream, run))
        else:
            self.start(upstream, run)

    def _is_current(self, upstream: Upstream, run: Run) -> bool:
        return (
            self._fleet.get(upstream.state.upstream_id) is upstream
            and upstream.runs.get(run.task) is run
        )

    def stop(self, upstream: Upstream, run: Run, reason: str) -> None:
        """Stop a run; its resources are free once the upstream lists its end."""
        if run.state is RunState.STOPPING:
            return
        get_logger().info(
            "run_stopped",
            task=str(run.task),
            run=run.number,
            upstream=upstream.state.upstream_id,
            reason=reason,
        )
        run.state = RunState.STOPPING
        self._section.count("stops")
        self._send_stop(upstream, run)

    def _send_stop(self, upstream: Upstream, run: Run) -> None:
        if not self._may_order():
            self._call_later(UNREACHABLE_RESEND_S, partial(self._stop_again, upstream, run))
            return
        order = StopOrder(run.task, run.number)
        self._gateway.stop(ref_of(upstream), order, partial(self._on_stopped, upstream, run))

    def _on_stopped(self, upstream: Upstream, run: Run, answer: OrderAnswer) -> None:
        now = self._clock.now()
        upstream.record_clock(answer.clock_ms, now)
        if not self._is_current(upstream, run):
            return
        if answer.result is OrderResult.OK:
            run.confirmed_at = now
            self.on_change(upstream)
        elif answer.result is OrderResult.OTHER_LIFE:
            self._on_all_lost(upstream, "other_life")
        else:
            self._call_later(RESEND_S * 5, partial(self._stop_again, upstream, run))

    def _stop_again(self, upstream: Upstream, run: Run) -> None:
        if self._is_current(upstream, run):
            self._send_stop(upstream, run)


def start_timeout_s(attempts: int) -> float:
    """Return the timeout of a start order, in seconds.

    Load pattern: upstreams leave half of the orders unanswered. A single lost answer does not show
    that an upstream is slow, so the timeout grows only after two of them.

    Args:
        attempts: Number of earlier orders for the same run.
    """
    return float(min(MAX_ORDER_TIMEOUT_S, ORDER_TIMEOUT_S * 2 ** (attempts // 2)))


def answer_weight(since_last_s: float) -> float:
    """Return the weight of an answer in the moving average of answer times.

    Load pattern: orders wait for a moment, as in the burst after a change of the leader, and most
    jobs are refused because of that. The few that are accepted get quick answers, but with the same
    weight for each, the average and with it the refusals would last for seconds.

    Args:
        since_last_s: Time since the answer before, in seconds.
    """
    weight = 1 - math.exp(-since_last_s / ANSWER_MEMORY_S)
    return min(MAX_ANSWER_WEIGHT, max(ANSWER_WEIGHT, weight))
