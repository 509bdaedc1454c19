"""Randomized faults against the real programs, with promises checked from outside.

``python -m tools.soak --seed 7 --seconds 20`` runs one schedule; the seed repeats it. Callers and
upstreams are stand-ins in this process, and only processes that it started are ended.
"""

import argparse
import random
import shutil
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tools.users_platform import CONFIG, Cluster, Program, try_call, wait_until

PORT = 18720
CALLERS = 6
FRONTENDS = 2
UPSTREAMS = 6
# Time in which everything that was accepted must have ended after the last fault: the longest
# lease, an election, the rest of upstreams that failed and a queue of a few seconds.
SETTLE_S = 25.0
# A replica whose disk was lost needs this long before the next one may lose its own.
WIPE_GAP_S = 6.0
# A refused caller comes back with another job after this time, so that the machine is not busy with
# refusals alone.
REFUSED_PAUSE_S = 0.05


class Soak:
    """One run.

    Args:
        seed: Seed of the schedule.
        seconds: Length of the time with faults.
        folder: Where settings, logs and data lie.
    """

    def __init__(self, *, seed: int, seconds: float, folder: Path) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._folder = folder
        self._cluster = Cluster(
            folder=folder, port=PORT, frontends=FRONTENDS, upstreams=UPSTREAMS, network="127.0.9"
        )
        self._is_over = threading.Event()
        self._lock = threading.Lock()
        self._number = 1000
        self._lives = 0
        self._wiped_at = 0.0
        self.faults: Counter[str] = Counter()
        self.checked: Counter[str] = Counter()
        self.violations: list[str] = []
        self._accepted: list[int] = []
        self._refused: list[int] = []
        self._not_kept: set[int] = set()
        self._acknowledged = 3

    def run(self) -> None:
        """Run callers, operator and faults, then check what must hold in the end."""
        try:
            self._cluster.configure()
            self._cluster.wait_ready()
            with ThreadPoolExecutor(CALLERS + 1, thread_name_prefix="caller") as executor:
                callers = [executor.submit(self._call, index) for index in range(CALLERS)]
                operator = executor.submit(self._operate)
                self._inject()
                self._is_over.set()
                self._heal()
                for fut in (*callers, operator):
                    fut.result()
            self._check_end()
        finally:
            self._cluster.close()

    # Callers and the operator

    def _call(self, index: int) -> None:
        rng = random.Random(index)
        while not self._is_over.is_set():
            with self._lock:
                self._number += 1
                number = self._number
            is_kept = rng.random() < 0.5
            if not is_kept:
                self._not_kept.add(number)
            tasks, run_ms = rng.randrange(1, 5), rng.choice([20, 60, 200, 900])
            statuses = []
            for _ in range(3):
                front = rng.randrange(FRONTENDS)
                status = self._cluster.submit(
                    number, tasks=tasks, run_ms=run_ms, is_kept=is_kept, frontend=front
                )
                statuses.append(status)
                if status in (200, 503, 429):
                    break
                time.sleep(1.3)
            with self._lock:
                if statuses[-1] == 200 and is_kept:
                    self._accepted.append(number)
                if set(statuses) <= {503, 429}:
                    self._refused.append(number)
            self.checked["answers"] += 1
            if statuses[-1] != 200:
                time.sleep(REFUSED_PAUSE_S)
            if statuses[-1] not in (0, 200, 429, 503, 504):
                self._violate(f"job {number:016x} was answered with {statuses[-1]}")

    def _operate(self) -> None:
        version = 3
        while not self._is_over.is_set():
            version += 1
            body = {**CONFIG, "version": version}
            core = self._cluster.cores[version % len(self._cluster.cores)]
            if try_call(core.control, "POST", "/api/config/replace", body)[0] == 200:
                self._acknowledged = version
            acknowledged = self._acknowledged
            time.sleep(0.4)
            other = self._cluster.cores[(version + 1) % len(self._cluster.cores)]
            status, found = try_call(other.control, "GET", "/api/config/describe")
            if status == 200:
                self.checked["configurations read"] += 1
                if found["version"] < acknowledged:
                    self._violate(f"version {found['version']} after {acknowledged} was accepted")

    # Faults

    def _inject(self) -> None:
        kinds: list[tuple[str, Callable[[], None]]] = [
            ("core killed", lambda: self._kill(self._rng.choice(self._cluster.cores))),
            ("core paused", lambda: self._pause(self._rng.choice(self._cluster.cores))),
            ("core stopped", lambda: self._stop(self._rng.choice(self._cluster.cores))),
            ("all cores killed", self._kill_all),
            ("disk lost", self._wipe),
            ("frontend stopped", lambda: self._stop(self._rng.choice(self._cluster.frontends))),
            ("frontend killed", lambda: self._kill(self._rng.choice(self._cluster.frontends))),
            ("upstream crashed", self._crash_upstream),
            ("connections reset", lambda: self._proxy("reset")),
            ("connections silent", lambda: self._proxy("freeze")),
            ("upstream cut off", lambda: self._proxy("cut")),
            ("upstream not heard", lambda: self._proxy("cut down")),
            ("upstream delayed", lambda: self._proxy("delay 60")),
            ("proxies pass", lambda: self._proxy("pass")),
        ]
        deadline = time.monotonic() + self._seconds
        while time.monotonic() < deadline:
            name, inject = self._rng.choice(kinds)
            self.faults[name] += 1
            inject()
            time.sleep(self._rng.uniform(0.1, 1.2))

    def _kill(self, program: Program) -> None:
        program.kill()
        time.sleep(self._rng.uniform(0.0, 0.8))
        program.start()

    def _kill_all(self) -> None:
        for core in self._cluster.cores:
            core.kill()
        for core in self._cluster.cores:
            core.start()

    def _pause(self, program: Program) -> None:
        program.signal(signal.SIGSTOP)
        time.sleep(self._rng.uniform(0.1, 2.0))
        program.signal(signal.SIGCONT)

    def _stop(self, program: Program) -> None:
        # Python ends at once on a signal that comes before the program has set its handlers; it
        # serves nothing yet.
        is_started = program.is_started
        program.signal(signal.SIGTERM)
        if program.wait() != 0 and is_started:
            self._violate(f"{program.role} {program.host} did not end in order")
        program.start()

    def _wipe(self) -> None:
        """Lose a disk while the others are up and have had time to catch up."""
        if time.monotonic() - self._wiped_at < WIPE_GAP_S:
            return
        others = self._cluster.cores[1:]
        if any(try_call(core.control, "GET", "/api/config/describe")[0] != 200 for core in others):
            return
        victim = self._cluster.cores[0]
        victim.kill()
        shutil.rmtree(self._folder / victim.host / "data")
        victim.start()
        self._wiped_at = time.monotonic()

    def _crash_upstream(self) -> None:
        number = self._rng.randrange(UPSTREAMS)
        self._cluster.upstreams[number].close()
        self._lives += 1
        self._cluster.upstreams[number] = self._cluster.new_upstream(
            number, f"i-{number}-{self._lives}"
        )

    def _proxy(self, command: str) -> None:
        self._rng.choice(self._cluster.proxies).command(command)

    def _heal(self) -> None:
        for proxy in self._cluster.proxies:
            proxy.command("pass")

    # Checks

    def _violate(self, text: str) -> None:
        with self._lock:
            self.violations.append(text)

    def _check_end(self) -> None:
        for number in self._accepted:
            self.checked["accepted jobs that ended"] += 1
            try:
                wait_until(lambda n=number: self._has_ended(n), SETTLE_S)  # type: ignore[misc]
            except AssertionError:
                state = self._cluster.state(number)
                self._violate(f"job {number:016x} was accepted and is {state or 'unknown'}")
        for number in self._refused:
            self.checked["refused jobs that did not run"] += 1
            if self._cluster.journal.started(f"{number:016x}"):
                self._violate(f"job {number:016x} was refused and has run")
        self.checked["starts"] = sum(
            1 for seen in self._cluster.journal.events if seen.what == "start"
        )
        self.violations += self._cluster.journal.violations
        for task in self._cluster.journal.repeated:
            # A job that need not be stored may run again from the start when it is sent again.
            if int(task.split(".")[0], 16) not in self._not_kept:
                self._violate(f"{task} starts after an end that was acknowledged")

    def _has_ended(self, number: int) -> bool:
        return self._cluster.state(number) in ("completed", "failed")


def main() -> None:
    """Run the seeds that the command line names and print a summary."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=20.0, help="time with faults, each")
    args = parser.parse_args()
    failed = 0
    for seed in range(args.seed, args.seed + args.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        soak = Soak(seed=seed, seconds=args.seconds, folder=folder)
        soak.run()
        faults = ", ".join(f"{name} {count}" for name, count in sorted(soak.faults.items()))
        checked = ", ".join(f"{name} {count}" for name, count in sorted(soak.checked.items()))
        print(f"seed {seed}: faults: {faults}\n  checked: {checked}")
        for text in soak.violations:
            print(f"  VIOLATION {text}; logs in {folder}")
        if soak.violations:
            failed += 1
        else:
            shutil.rmtree(folder)
    print(f"{args.seeds - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
