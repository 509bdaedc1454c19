"""Starts and stops of runs: sends them until it is known what became of them."""

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

# A refusal says that the upstream itself considers itself unhealthy.
REFUSED_BACKOFF_S = 0.5
# An order without an answer is sent again after this pause.
RESEND_S = 0.005
UNREACHABLE_RESEND_S = 0.1
# Weight of the newest answer in their mean time; about the last fifty count.
ANSWER_WEIGHT = 0.02
# Without an answer for this long, in which a busy leader gets hundreds, the mean fades in about as
# long again.
ANSWER_FADE_S = 0.5
# An upstream that could not read a start is left alone for a while.
MALFORMED_BACKOFF_S = 1.0


class RunOrders:
    """Orders for the runs under one leader.

    Args:
        find_job: Finds a job by its identity, in the log or not.
        fleet: Upstreams by identity.
        gateway: Carries orders.
        loop: Event loop; all methods run in its thread.
        clock: Source of time.
        lease_s: Returns the length of a lease that is sent now, in seconds.
        may_order: Whether this instance still leads with a lease.
        on_not_run: Takes a run that certainly was not started, with the reason.
        on_all_lost: Takes an upstream on which certainly nothing runs any more, with the reason.
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
        self.on_change: Callable[[Upstream], None] = lambda upstream: None
        # Mean time from an order until its answer is handled, in milliseconds.
        self.answer_ms = 0.0
        self._answered_at = clock.now()

    def fade_answers(self, seconds: float) -> None:
        """Let their mean time fade while none comes.

        Jobs are refused while orders are slow; without jobs nothing else would tell that they are
        fast again.

        Args:
            seconds: Time since the last call.
        """
        if self._clock.now() - self._answered_at > ANSWER_FADE_S:
            self.answer_ms *= max(0.0, 1 - seconds / ANSWER_FADE_S)

    def start(self, upstream: Upstream, run: Run) -> None:
        """Send the start of a run, and repeat it until it is known whether it was carried out."""
        job = self._find_job(run.task.job)
        if job is None or not self._may_order():
            return
        now = self._clock.now()
        order = StartOrder(
            run.task,
            run.number,
            job.spec.payload,
            upstream.extend_lease(self._lease_s(), now),
            job.checkpoint.get(run.task, ""),
            timeout_s=min(MAX_ORDER_TIMEOUT_S, ORDER_TIMEOUT_S * 2**run.attempts),
        )
        run.attempts += 1
        self._gateway.start(ref_of(upstream), order, partial(self._on_started, upstream, run, now))

    def _on_started(
        self, upstream: Upstream, run: Run, sent_at: float, answer: OrderAnswer
    ) -> None:
        now = self._clock.now()
        upstream.record_clock(answer.clock_ms, now)
        if not self._is_current(upstream, run) or run.state is not RunState.STARTING:
            return
        if answer.result is OrderResult.OK:
            self.answer_ms += ANSWER_WEIGHT * ((now - sent_at) * 1000 - self.answer_ms)
            self._answered_at = now
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
                    upstream.unreachable_since = upstream.unreachable_since or now
                self._loop.call_after(RESEND_S, partial(self._resend, upstream, run))
            case OrderResult.STALE_RUN:
                # Its end is in the upstream's list, which the next look returns.
                run.state = RunState.RUNNING
                run.confirmed_at = now
                self.on_change(upstream)
            case OrderResult.OTHER_LIFE:
                self._on_all_lost(upstream, "other_life")
            case OrderResult.NOT_SENT if run.may_have_started:
                self._loop.call_after(RESEND_S, partial(self._resend, upstream, run))
            case _ if run.may_have_started:
                # The first order may still be carried out; a stop bars this run number.
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
            # What this leader knows of its room is wrong until it has listed its runs.
            upstream.is_known = False
        else:
            upstream.backoff_until = now + REFUSED_BACKOFF_S
        self.on_change(upstream)

    def _resend(self, upstream: Upstream, run: Run) -> None:
        if not self._is_current(upstream, run) or run.state is not RunState.STARTING:
            return
        if upstream.unreachable_since is not None:
            # Either it is heard again, or its lease ends and frees the run.
            self._loop.call_after(UNREACHABLE_RESEND_S, partial(self._resend, upstream, run))
        else:
            self.start(upstream, run)

    def _is_current(self, upstream: Upstream, run: Run) -> bool:
        return (
            self._fleet.get(upstream.state.upstream_id) is upstream
            and upstream.runs.get(run.task) is run
        )

    def stop(self, upstream: Upstream, run: Run, reason: str) -> None:
        """Stop a run; its room is free when its end is listed."""
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
            self._loop.call_after(RESEND_S * 5, partial(self._stop_again, upstream, run))

    def _stop_again(self, upstream: Upstream, run: Run) -> None:
        if self._is_current(upstream, run):
            self._send_stop(upstream, run)
