"""Command line shared by the programs that fuzz random schedules."""

import argparse
import logging
import sys
import time
from collections import Counter
from typing import Protocol

import structlog


class RunSchedules(Protocol):
    """Executes random schedules."""

    def __call__(self, *, seed: int, steps: int) -> Counter[str]:
        """Execute schedules until the number of steps is reached.

        Args:
            seed: Seed of the first schedule.
            steps: Number of steps of all schedules together.

        Returns:
            Number of events of each kind.

        Raises:
            AssertionError: An invariant was violated; the message names the seed of the schedule.
        """


def main(run: RunSchedules, *, description: str | None, steps: int) -> None:
    """Execute schedules with the seed and number of steps from the command line.

    Args:
        run: Executes the schedules.
        description: Help text of the program.
        steps: Default number of steps.
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
