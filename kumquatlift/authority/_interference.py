"""Learns from ended runs which kinds of runs slow each other down on one upstream.

The load that it answers is a fleet whose upstreams run tasks of several queues at a time, some of
which contend for something that no request names, such as a cache or a disk.

Runs of one kind on one upstream are compared with each other only, in blocks of a few that ended
one after another. What is the same for all runs of a block cancels: a slow upstream, one that
serves less since its start, and run times that were declared wrongly for a whole queue. Run times
are taken as logarithms of their ratio to the expected ones, and clipped around the median of their
block, so that a rare run that takes many times as long counts no more than a slow one.

A run that takes longer for any reason is beside more runs that start later. Whether a run counts
as beside a kind is therefore decided by what was there when it started; the share of its time that
both were there scales the result. This is the estimator of instrumental variables, with the company
at the start as the instrument. It is solved for all neighbours of a kind together, so that one that
only comes along with the culprit isn't blamed.
"""

import math
import statistics
from collections.abc import Callable, Container, Mapping
from typing import NamedTuple

# Runs that are compared with each other. An upstream whose speed changes does so between blocks
# more than within one.
BLOCK_RUNS = 8
# A block that isn't full after this time is used as it is, or dropped if it holds one run.
MAX_BLOCK_S = 30.0
# Open blocks; the oldest is used up when there are more.
MAX_BLOCKS = 4096
# Logarithms of run times further than this from the median of their block are clipped. It is the
# logarithm of 2.7, beyond which the ratio of a pair isn't told apart.
CLIP = 1.0
# Kinds that are followed, and neighbours of each.
MAX_VICTIMS = 64
MAX_NEIGHBOURS = 12
# Evidence counts half after this time.
HALF_LIFE_S = 300.0
# Spread of the logarithms of the ratios that is assumed before anything is seen, around no effect.
PRIOR_SPREAD = 0.3
# Least variance of the logarithms of run times; without it, equal run times would prove anything.
MIN_VARIANCE = 0.01
# A pair is kept apart from this ratio and this many standard errors on, and no longer below the
# second ones. Pairs are looked at many times, so the first is high.
APART_RATIO, APART_ERRORS = 1.15, 4.0
TOGETHER_RATIO, TOGETHER_ERRORS = 1.08, 2.0
# Most neighbours of one kind that are found to slow it down.
MAX_CULPRITS = 4
# Comparisons of a kind's runs before any pair of it is judged.
MIN_COMPARISONS = 20.0


class Observation(NamedTuple):
    """A run that was done.

    Args:
        kind: Its kind.
        incarnation: Number of the incarnation of the upstream where it ran.
        log_ratio: Logarithm of its run time as a multiple of the expected one at speed 1.
        present: Kinds that were there when it started.
        shares: Share of its time for which each kind was beside it.
    """

    kind: str
    incarnation: int
    log_ratio: float
    present: frozenset[str]
    shares: Mapping[str, float]


class Pair(NamedTuple):
    """What is known of the runs of one kind beside those of another.

    Args:
        kind: The kind whose runs are slower or not.
        beside: The kind beside which they are.
        log_ratio: Logarithm of the factor by which they take longer.
        error: Its standard error.
        runs: Runs that it is known from, as far as their evidence has not faded.
        seen_at: Time of the newest evidence, in seconds.
    """

    kind: str
    beside: str
    log_ratio: float
    error: float
    runs: float
    seen_at: float

    @property
    def key(self) -> tuple[str, str]:
        """Both kinds, the slower one first."""
        return (self.kind, self.beside)

    @property
    def ratio(self) -> float:
        """Run time beside the other kind, relative to that without it."""
        return math.exp(self.log_ratio)

    def is_apart(self, *, was_apart: bool) -> bool:
        """Return whether both should be kept apart; a pair that was stays so on less evidence."""
        ratio, errors = (
            (TOGETHER_RATIO, TOGETHER_ERRORS) if was_apart else (APART_RATIO, APART_ERRORS)
        )
        return self.log_ratio >= max(math.log(ratio), errors * self.error)

    def to_plain(self, now: float, *, is_apart: bool) -> dict[str, object]:
        """Return the pair for the state dump."""
        return {
            "queue": self.kind,
            "beside": self.beside,
            "ratio": round(self.ratio, 3),
            "low": round(math.exp(self.log_ratio - 2 * self.error), 3),
            "high": round(math.exp(self.log_ratio + 2 * self.error), 3),
            "runs": round(self.runs),
            "age_s": round(now - self.seen_at, 1),
            "is_apart": is_apart,
        }


class _Block:
    """Runs of one kind on one upstream that are compared with each other."""

    __slots__ = ("runs", "since")

    def __init__(self, *, since: float) -> None:
        self.since = since
        self.runs: list[Observation] = []


class _Evidence:
    """Sums over the blocks of one kind, from which its ratios beside all others are solved."""

    __slots__ = (
        "comparisons",
        "cross",
        "faded_at",
        "has_news",
        "moments",
        "scores",
        "seen_at",
        "squares",
    )

    def __init__(self, *, now: float) -> None:
        self.faded_at = now
        self.has_news = False
        self.comparisons = 0.0
        self.squares = 0.0
        # Sums of products of the deviations from the means of the blocks: start company by run
        # time, by share and by start company.
        self.scores: dict[str, float] = {}
        self.cross: dict[tuple[str, str], float] = {}
        self.moments: dict[tuple[str, str], float] = {}
        self.seen_at: dict[str, float] = {}

    def fade(self, now: float) -> None:
        """Let the evidence lose weight with its age."""
        kept = 0.5 ** (max(0.0, now - self.faded_at) / HALF_LIFE_S)
        self.faded_at = now
        self.comparisons *= kept
        self.squares *= kept
        for sums in (self.scores, self.cross, self.moments):
            for key in sums:
                sums[key] *= kept  # type: ignore[index]

    def add(self, runs: list[Observation], now: float) -> None:
        """Add a block of runs."""
        self.fade(now)
        times = _clipped([run.log_ratio for run in runs])
        self.comparisons += len(runs) - 1
        self.squares += sum(time * time for time in times)
        starts = {
            kind: _deviations([float(kind in run.present) for run in runs])
            for kind in frozenset().union(*(run.present for run in runs))
        }
        starts = {kind: row for kind, row in starts.items() if any(row)}
        if not starts:
            return
        self.has_news = True
        shared = frozenset().union(*(run.shares.keys() for run in runs))
        beside = {kind: _deviations([run.shares.get(kind, 0.0) for run in runs]) for kind in shared}
        for kind, row in starts.items():
            self._admit(kind)
            self.seen_at[kind] = now
            self.scores[kind] += _product(row, times)
            for other, shares in beside.items():
                if other in self.scores or other in starts:
                    key = (kind, other)
                    self.cross[key] = self.cross.get(key, 0.0) + _product(row, shares)
            for other, present in starts.items():
                key = (kind, other)
                self.moments[key] = self.moments.get(key, 0.0) + _product(row, present)

    def _admit(self, kind: str) -> None:
        """Make room for a neighbour in place of the one that the least is known of."""
        if kind in self.scores:
            return
        if len(self.scores) >= MAX_NEIGHBOURS:
            least = min(self.scores, key=lambda other: self.moments.get((other, other), 0.0))
            del self.scores[least], self.seen_at[least]
            for sums in (self.cross, self.moments):
                for key in [key for key in sums if least in key]:
                    del sums[key]
        self.scores[kind] = 0.0

    def solve(self, kind: str, apart: Container[tuple[str, str]]) -> list[Pair]:
        """Return what is known of the runs of this kind beside each neighbour.

        Neighbours that interfere are found one by one, the most certain first. Each other one is
        judged for what these don't explain, since it may only come along with one of them.

        Args:
            kind: This kind.
            apart: Pairs that are kept apart.
        """
        if self.comparisons < MIN_COMPARISONS:
            return []
        culprits: list[str] = []
        while True:
            others = [name for name in self.scores if name not in culprits]
            pairs = [self._fit(kind, [*culprits, name])[-1] for name in others]
            found = [each for each in pairs if each.is_apart(was_apart=each.key in apart)]
            if not found or len(culprits) == MAX_CULPRITS:
                return [*self._fit(kind, culprits), *pairs]
            culprits.append(max(found, key=lambda each: each.log_ratio / each.error).beside)

    def _fit(self, kind: str, names: list[str]) -> list[Pair]:
        """Return the pairs with these neighbours, as if no other one had an effect."""
        variance = max(self.squares / self.comparisons, MIN_VARIANCE)
        moments = self._matrix(self.moments, names)
        for number in range(len(names)):
            # Keeps the matrix invertible when two neighbours always come together.
            moments[number][number] += 1.0
        cross = self._matrix(self.cross, names)
        weighted = _times(_transposed(cross), _inverse(moments))
        precision = [[value / variance for value in row] for row in _times(weighted, cross)]
        for number, row in enumerate(precision):
            row[number] += 1 / PRIOR_SPREAD**2
        covariance = _inverse(precision)
        scores = [self.scores[name] / variance for name in names]
        effects = [_product(row, scores) for row in _times(covariance, weighted)]
        return [
            Pair(
                kind,
                name,
                effects[number],
                math.sqrt(covariance[number][number]),
                # Half of the runs beside and half without have the most to tell.
                4 * self.moments.get((name, name), 0.0),
                self.seen_at[name],
            )
            for number, name in enumerate(names)
        ]

    @staticmethod
    def _matrix(sums: dict[tuple[str, str], float], names: list[str]) -> list[list[float]]:
        return [[sums.get((row, column), 0.0) for column in names] for row in names]


class Interference:
    """The pairs of kinds that slow each other down, as far as this leader knows.

    Args:
        on_apart: Is called with a pair and whether it is kept apart, when that changes.
    """

    def __init__(self, *, on_apart: Callable[[Pair, bool], None] = lambda pair, is_apart: None):
        self._on_apart = on_apart
        self._blocks: dict[tuple[str, int], _Block] = {}
        self._evidence: dict[str, _Evidence] = {}
        self._pairs: dict[tuple[str, str], Pair] = {}
        # Factors by which runs of the first kind take longer beside those of the second.
        self.apart: dict[tuple[str, str], float] = {}
        # Kinds that are in any of these pairs.
        self.involved: frozenset[str] = frozenset()

    def observe(self, run: Observation, now: float) -> None:
        """Record a run that was done and whose run time is known."""
        key = (run.kind, run.incarnation)
        block = self._blocks.get(key)
        if block is not None and now - block.since > MAX_BLOCK_S:
            self._use(key, now)
            block = None
        if block is None:
            if len(self._blocks) >= MAX_BLOCKS:
                self._use(next(iter(self._blocks)), now)
            block = self._blocks[key] = _Block(since=now)
        block.runs.append(run)
        if len(block.runs) >= BLOCK_RUNS:
            self._use(key, now)

    def _use(self, key: tuple[str, int], now: float) -> None:
        block = self._blocks.pop(key)
        if len(block.runs) < 2:
            return
        evidence = self._evidence.get(key[0])
        if evidence is None:
            if len(self._evidence) >= MAX_VICTIMS:
                oldest = min(self._evidence, key=lambda kind: self._evidence[kind].faded_at)
                self._drop(oldest)
            evidence = self._evidence[key[0]] = _Evidence(now=now)
        evidence.add(block.runs, now)

    def _drop(self, kind: str) -> None:
        del self._evidence[kind]
        for key in [key for key in self._pairs if key[0] == kind]:
            self._set_apart(self._pairs.pop(key), is_apart=False)

    def update(self, now: float) -> None:
        """Judge the pairs anew; called about once a second."""
        for kind, evidence in list(self._evidence.items()):
            is_kept = any(victim == kind for victim, _ in self.apart)
            if not evidence.has_news and not is_kept:
                continue
            evidence.has_news = False
            evidence.fade(now)
            pairs = {pair.key: pair for pair in evidence.solve(kind, self.apart)}
            for key in [key for key in self._pairs if key[0] == kind and key not in pairs]:
                self._set_apart(self._pairs.pop(key), is_apart=False)
            self._pairs.update(pairs)
            for key, pair in pairs.items():
                self._set_apart(pair, is_apart=pair.is_apart(was_apart=key in self.apart))

    def _set_apart(self, pair: Pair, *, is_apart: bool) -> None:
        key = pair.key
        was_apart = key in self.apart
        if is_apart:
            self.apart[key] = pair.ratio
        else:
            self.apart.pop(key, None)
        if is_apart != was_apart:
            self.involved = frozenset(kind for each in self.apart for kind in each)
            self._on_apart(pair, is_apart)

    def pairs(self) -> list[Pair]:
        """Return all pairs of which something is known, those that interfere the most first."""
        return sorted(self._pairs.values(), key=lambda pair: -pair.log_ratio)


class Disturbance(NamedTuple):
    """What it costs to start a run on an upstream beside those that are there.

    Args:
        factor: Factor by which the new run takes longer.
        others_ms: Time by which those that are there take longer, at speed 1, in milliseconds.
    """

    factor: float = 1.0
    others_ms: float = 0.0

    @property
    def is_none(self) -> bool:
        """Whether nothing takes longer."""
        return self.factor <= 1.0 and self.others_ms <= 0.0


# Mean share of its run time that a run in progress has before it.
MEAN_REMAINING_SHARE = 0.5


def disturbance(
    kind: str, present: Mapping[str, float], apart: Mapping[tuple[str, str], float]
) -> Disturbance:
    """Return what a new run of a kind costs on an upstream.

    Args:
        kind: Kind of the new run.
        present: Sum of the expected run times of the runs of each kind there, in milliseconds.
        apart: Factors of the pairs that are kept apart.
    """
    factor, others_ms = 1.0, 0.0
    for other, expected_ms in present.items():
        factor *= apart.get((kind, other), 1.0)
        # Runs that are beside one of this kind already lose nothing more.
        if kind not in present or other == kind:
            slower = apart.get((other, kind), 1.0) - 1
            others_ms += slower * MEAN_REMAINING_SHARE * expected_ms
    return Disturbance(factor, others_ms)


def _clipped(values: list[float]) -> list[float]:
    """Return the deviations from the mean after values far from the median are clipped."""
    middle = statistics.median(values)
    return _deviations([min(middle + CLIP, max(middle - CLIP, value)) for value in values])


def _deviations(values: list[float]) -> list[float]:
    mean = sum(values) / len(values)
    return [value - mean for value in values]


def _product(left: list[float], right: list[float]) -> float:
    return sum(a * b for a, b in zip(left, right, strict=True))


def _transposed(matrix: list[list[float]]) -> list[list[float]]:
    return [list(column) for column in zip(*matrix, strict=True)]


def _times(left: list[list[float]], right: list[list[float]]) -> list[list[float]]:
    columns = _transposed(right)
    return [[_product(row, column) for column in columns] for row in left]


def _inverse(matrix: list[list[float]]) -> list[list[float]]:
    """Return the inverse of a small positive definite matrix."""
    size = len(matrix)
    rows = [[*row, *(float(i == j) for j in range(size))] for i, row in enumerate(matrix)]
    for column in range(size):
        scale = rows[column][column]
        rows[column] = [value / scale for value in rows[column]]
        for number in range(size):
            factor = rows[number][column]
            if number != column and factor:
                rows[number] = [
                    value - factor * other
                    for value, other in zip(rows[number], rows[column], strict=True)
                ]
    return [row[size:] for row in rows]
