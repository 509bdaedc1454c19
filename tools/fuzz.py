"""Command line of the programs that play random schedules."""

import argparse
import logging
import sys
import time
from collections import Counter
from typing import Protocol

import structlog


class RunSchedules(Protocol):
    """Plays random schedules."""

    def __call__(self, *, seed: int, steps: int) -> Counter[str]:
        """Return how often each kind of event happened.

        Raises:
            AssertionError: An invariant failed; the message names the seed of the world.
        """


def main(run: RunSchedules, *, description: str | None, steps: int) -> None:
    """Run schedules with the seed and number of steps of the command line.

    Args:
        run: Plays the schedules.
        description: Help text of the program.
        steps: Number of steps without an option.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--steps", type=int, default=steps)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    started = time.monotonic()
    print(f"seed {args.seed}, {args.steps} steps")
    try:
        counts = run(seed=args.seed, steps=args.steps)
    except AssertionError as exc:
        sys.exit(f"failed: {exc}")
    shown = ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
    print(f"passed in {time.monotonic() - started:.1f} s: {shown}")
