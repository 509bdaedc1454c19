"""Submissions that wait for the end of their job."""

import itertools
from collections.abc import Callable

from kumquatlift.authority._api import Reply
from kumquatlift.clock import Clock

ReplyCallback = Callable[[Reply], None]
# A withdrawal is remembered for this long, in case its submission arrives after it. Both travel on
# different connections when the first one is replaced.
WITHDRAWAL_RETENTION_S = 10.0
MAX_WITHDRAWALS = 10_000


class Attempts:
    """Submissions that wait for the end of their job, called attempts here.

    A job has several while its caller submits it again, for example through another frontend after
    a broken connection. Withdrawing one leaves the others, and the job, as they are.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # By job: the callbacks of its attempts, by their identities.
        self._waiting: dict[str, dict[str, ReplyCallback]] = {}
        # Times of the withdrawals, by attempt, in the order of their arrival.
        self._withdrawn: dict[str, float] = {}
        self._unnamed = itertools.count()

    def add(self, job_id: str, attempt: str, answer: ReplyCallback) -> None:
        """Add an attempt; one that is sent again replaces itself.

        Args:
            job_id: Identity of the job.
            attempt: Identity of the attempt; empty if its sender gave none.
            answer: Is called with the reply when the job has ended.
        """
        key = attempt or f"unnamed {next(self._unnamed)}"
        self._waiting.setdefault(job_id, {})[key] = answer

    def withdraw(self, job_id: str, attempt: str) -> bool:
        """Remove an attempt whose caller has left.

        Returns:
            Whether it was there and no other attempt of its job waits.
        """
        now = self._clock.now()
        self._forget_withdrawals(now)
        if len(self._withdrawn) < MAX_WITHDRAWALS:
            self._withdrawn[attempt] = now
        waiting = self._waiting.get(job_id, {})
        if waiting.pop(attempt, None) is None or waiting:
            return False
        del self._waiting[job_id]
        return True

    def is_withdrawn(self, attempt: str) -> bool:
        """Return whether the caller of an attempt has left, as far as is remembered."""
        return attempt in self._withdrawn

    def pop(self, job_id: str) -> list[ReplyCallback]:
        """Remove all attempts of a job, and return their callbacks."""
        return list(self._waiting.pop(job_id, {}).values())

    def pop_all(self) -> list[ReplyCallback]:
        """Remove all attempts of all jobs, and return their callbacks."""
        waiting, self._waiting = self._waiting, {}
        return [answer for attempts in waiting.values() for answer in attempts.values()]

    def count(self, job_id: str) -> int:
        """Return the number of attempts of a job."""
        return len(self._waiting.get(job_id, ()))

    def _forget_withdrawals(self, now: float) -> None:
        while self._withdrawn:
            oldest = next(iter(self._withdrawn))
            if now - self._withdrawn[oldest] <= WITHDRAWAL_RETENTION_S:
                break
            del self._withdrawn[oldest]
