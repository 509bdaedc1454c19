"""Which kinds of runs share an upstream, and for how long.

The kind of a run is the key of its queue. A run's mark, made at its start, holds the kinds that
were there already; ``Company.shares`` tells at its end for which share of its time runs of each
kind were beside it. Both cost a few operations for each kind on the upstream, not for each run.
"""

from collections.abc import Mapping
from typing import NamedTuple

from kumquatlift.clock import Clock

# Kinds that an upstream remembers; beyond this, those without runs are forgotten.
MAX_KINDS = 16


class Mark(NamedTuple):
    """The company of an upstream when a run started there.

    Args:
        at: Time of the start, in seconds.
        rows: By kind, the number of runs that were there, and the time for which at least one run
            and for which at least two have been there, in seconds.
    """

    at: float
    rows: Mapping[str, tuple[int, float, float]]

    @property
    def present(self) -> frozenset[str]:
        """Kinds of the runs that were there."""
        return frozenset(kind for kind, row in self.rows.items() if row[0])


class _Presence:
    """Runs of one kind on one upstream."""

    __slots__ = ("expected_ms", "once_s", "runs", "since", "twice_s")

    def __init__(self, *, now: float) -> None:
        self.runs = 0
        # Sum of the expected run times at speed 1 of the runs that are there.
        self.expected_ms = 0.0
        self.since = now
        self.once_s = 0.0
        self.twice_s = 0.0

    def advance(self, now: float) -> None:
        """Add the time since the last change."""
        if self.runs:
            self.once_s += now - self.since
            if self.runs > 1:
                self.twice_s += now - self.since
        self.since = now


class Company:
    """The kinds of runs on one upstream.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._by_kind: dict[str, _Presence] = {}

    def enter(self, kind: str, expected_ms: float) -> Mark:
        """Add a run, and return the company that it meets."""
        now = self._clock.now()
        rows: dict[str, tuple[int, float, float]] = {}
        for other, presence in self._by_kind.items():
            if presence.runs:
                presence.advance(now)
            rows[other] = (presence.runs, presence.once_s, presence.twice_s)
        known = self._by_kind.get(kind)
        if known is None:
            self._forget()
            known = self._by_kind[kind] = _Presence(now=now)
        known.since = now
        known.runs += 1
        known.expected_ms += expected_ms
        return Mark(now, rows)

    def leave(self, kind: str, expected_ms: float) -> None:
        """Remove a run."""
        presence = self._by_kind.get(kind)
        if presence is None:
            return
        presence.advance(self._clock.now())
        presence.runs -= 1
        presence.expected_ms = max(0.0, presence.expected_ms - expected_ms) if presence.runs else 0
        if presence.runs <= 0:
            presence.runs = 0

    def shares(self, kind: str, mark: Mark) -> dict[str, float]:
        """Return the share of a run's time for which other runs of each kind were beside it.

        Args:
            kind: Kind of the run, which is still there.
            mark: What ``enter`` returned for it.
        """
        now = self._clock.now()
        passed_s = now - mark.at
        shares: dict[str, float] = {}
        for other, presence in self._by_kind.items():
            if presence.runs:
                presence.advance(now)
            _, once_s, twice_s = mark.rows.get(other, (0, 0.0, 0.0))
            beside_s = presence.twice_s - twice_s if other == kind else presence.once_s - once_s
            if 0 < beside_s <= 1.01 * passed_s:
                shares[other] = min(1.0, beside_s / passed_s)
        return shares

    def present(self) -> dict[str, float]:
        """Return the sum of the expected run times of the runs of each kind, in milliseconds."""
        return {
            kind: presence.expected_ms for kind, presence in self._by_kind.items() if presence.runs
        }

    def _forget(self) -> None:
        if len(self._by_kind) >= MAX_KINDS:
            self._by_kind = {kind: row for kind, row in self._by_kind.items() if row.runs}
