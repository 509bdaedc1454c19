"""Measures traffic, false removals and detection times of gossip in a simulation.

Run from the root of the project: ``python -m tools.measure_gossip --help``.
"""

import argparse
import statistics

from tests.simulated_gossip import SimulatedGossip

WARM_UP_S = 8.0


def measure(count: int, seeds: int, loss: float) -> str:
    """Return one row of the table; each seed runs a minute without failures, then one failure."""
    rates: list[tuple[float, float]] = []
    false_removals = pairs = 0
    ages: list[float] = []
    detections: list[float] = []
    for seed in range(seeds):
        sim = SimulatedGossip(count=count, seed=seed, loss=loss)
        sim.run(WARM_UP_S)
        assert sim.is_complete(), f"seed {seed} is not complete after {WARM_UP_S} s"
        sim.bytes_per_s(1.0)
        missing: set[tuple[str, str]] = set()

        def watch(sim: SimulatedGossip = sim, missing: set[tuple[str, str]] = missing) -> None:
            for name, process in sim.processes.items():
                for other in process.view.unreachable():
                    missing.add((name, other.name))

        sim.run(60.0, watch)
        rates.append(sim.bytes_per_s(60.0))
        false_removals += len(missing)
        pairs += count * (count - 1)
        died_at = sim.clock.now()
        for process in sim.processes.values():
            entries = process.view.snapshot()
            ages.extend(entry["heartbeat_age_s"] for entry in entries)
        dead = f"m{seed % count}"
        del sim.processes[dead]
        detected_after_s: dict[str, float] = {}

        def record_detection(
            sim: SimulatedGossip = sim,
            dead: str = dead,
            detected_after_s: dict[str, float] = detected_after_s,
            died_at: float = died_at,
        ) -> None:
            for name, process in sim.processes.items():
                if not process.sees(dead):
                    detected_after_s.setdefault(name, sim.clock.now() - died_at)

        sim.run(4.0, record_detection)
        detections.extend(detected_after_s.get(name, 99.0) for name in sim.processes)
    detections.sort()
    p50 = statistics.median(detections)
    return (
        f"| {count} | {statistics.mean(sent for sent, _ in rates):.0f} | "
        f"{statistics.mean(received for _, received in rates):.0f} | "
        f"{max(sum(rate) for rate in rates):.0f} | "
        f"{false_removals} of {pairs} | {max(ages):.2f} | {detections[0]:.2f} | {p50:.2f} | "
        f"{detections[int(len(detections) * 0.99)]:.2f} | {detections[-1]:.2f} |"
    )


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--counts", default="3,7,14,28")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--loss", type=float, default=0.3)
    args = parser.parse_args()
    print(
        "| members | sent B/s | received B/s | both, highest seed | false removals a minute | "
        "oldest age s | detection min s | median s | p99 s | max s |"
    )
    print("|---" * 10 + "|")
    for count in map(int, args.counts.split(",")):
        print(measure(count, args.seeds, args.loss), flush=True)


if __name__ == "__main__":
    main()
