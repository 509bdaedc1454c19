"""Submissions that wait for the end of their job."""

import itertools
import math
from collections.abc import Callable
from typing import NamedTuple

from kumquatlift.authority._api import Reply
from kumquatlift.clock import Clock
from kumquatlift.codes import ResultCode

ReplyCallback = Callable[[Reply], None]
# A withdrawal of an unknown attempt is remembered for this long, as the attempt may arrive later:
# they travel on different connections when the first one is replaced.
WITHDRAWAL_RETENTION_S = 10.0
MAX_WITHDRAWALS = 10_000


class Attempt(NamedTuple):
    """A submission that waits.

    Args:
        answer: Is called with the reply.
        expires_at: Time after which its sender waits no more.
    """

    answer: ReplyCallback
    expires_at: float


class Attempts:
    """Submissions that wait for the end of their job, called attempts here.

    A job has several while its caller submits it again, for example through another frontend after
    a broken connection. Withdrawing one leaves the others, and the job, as they are.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # Attempts by job, then by their identities.
        self._waiting: dict[str, dict[str, Attempt]] = {}
        # Times of the withdrawals that came before their attempts, in the order of their arrival.
        self._withdrawn: dict[str, float] = {}
        self._unnamed = itertools.count()

    def add(
        self, job_id: str, attempt: str, answer: ReplyCallback, *, wait_s: float = math.inf
    ) -> None:
        """Add an attempt; one that is sent again replaces itself.

        Args:
            job_id: Identity of the job.
            attempt: Identity of the attempt; empty if its sender gave none.
            answer: Is called with the reply when the job has ended.
            wait_s: Time for which its sender waits, in seconds.
        """
        key = attempt or f"unnamed {next(self._unnamed)}"
        entry = Attempt(answer, self._clock.now() + wait_s)
        self._waiting.setdefault(job_id, {})[key] = entry

    def withdraw(self, job_id: str, attempt: str) -> bool:
        """Remove an attempt whose caller has left, and end its call.

        Returns:
            Whether it was there and no other attempt of its job waits.
        """
        now = self._clock.now()
        waiting = self._waiting.get(job_id, {})
        entry = waiting.pop(attempt, None)
        if entry is None:
            self._remember_withdrawal(attempt, now)
            return False
        entry.answer(Reply(ResultCode.NOT_FOUND))
        if any(other.expires_at > now for other in waiting.values()):
            return False
        del self._waiting[job_id]
        return True

    def is_withdrawn(self, attempt: str) -> bool:
        """Return whether the caller of an attempt left before the attempt arrived."""
        return attempt in self._withdrawn

    def pop(self, job_id: str) -> list[ReplyCallback]:
        """Remove all attempts of a job, and return their callbacks."""
        return [entry.answer for entry in self._waiting.pop(job_id, {}).values()]

    def pop_all(self) -> list[tuple[str, ReplyCallback]]:
        """Remove all attempts of all jobs, and return their jobs and callbacks."""
        waiting, self._waiting = self._waiting, {}
        return [
            (job_id, entry.answer)
            for job_id, attempts in waiting.items()
            for entry in attempts.values()
        ]

    def count(self, job_id: str) -> int:
        """Return the number of attempts of a job."""
        return len(self._waiting.get(job_id, ()))

    def _remember_withdrawal(self, attempt: str, now: float) -> None:
        self._withdrawn[attempt] = now
        while True:
            oldest = next(iter(self._withdrawn))
            is_old = now - self._withdrawn[oldest] > WITHDRAWAL_RETENTION_S
            if not is_old and len(self._withdrawn) <= MAX_WITHDRAWALS:
                break
            del self._withdrawn[oldest]
