"""Faults of the soak: signals, disks, the time of day, upstreams and connections."""

import contextlib
import random
import shutil
import signal
import subprocess
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tools.users_platform import DRAIN_GRACE_S, Cluster, Program, try_call

# A replica whose disk was lost needs this long before the next one may lose its own.
WIPE_GAP_S = 6.0
# Heartbeats come twice a second; a change of leader delays their acknowledgement.
DRAIN_TIMEOUT_S = 3.0
# Longer than the time after which a leader is lost and another one is elected.
LINK_FAULT_S = 2.0
# The largest step of the time of day, either way.
CLOCK_STEP_S = 5.0


class SoakFaults:
    """A seeded schedule of faults against a cluster.

    Args:
        cluster: Programs, upstreams and proxies.
        folder: Where the programs' folders lie.
        seed: Seed of the schedule.
        seconds: Length of the schedule.
        only: Kinds of faults; empty for all.
        violate: Takes note of a broken promise.
    """

    def __init__(
        self,
        *,
        cluster: Cluster,
        folder: Path,
        seed: int,
        seconds: float,
        only: tuple[str, ...],
        violate: Callable[[str], None],
    ) -> None:
        self._cluster = cluster
        self._folder = folder
        self._rng = random.Random(seed)
        # A text, since a number and its negative give the same sequence.
        self._outer_rng = random.Random(f"outer {seed}")
        self._link_rng = random.Random(f"link {seed}")
        self._seconds = seconds
        self._only = only
        self._violate = violate
        self._lives = 0
        self._wiped_at = 0.0
        self.counts: Counter[str] = Counter()

    def run(self) -> None:
        """Inject faults until the time is over; each of the three groups goes its own way."""
        groups = (
            (self._rng, PROGRAM_FAULTS),
            (self._outer_rng, OUTER_FAULTS),
            (self._link_rng, LINK_FAULTS),
        )
        with ThreadPoolExecutor(len(groups), thread_name_prefix="fault") as executor:
            futs = [executor.submit(self._inject, *group) for group in groups]
        for fut in futs:
            fut.result()

    def heal(self) -> None:
        """Let all connections pass."""
        cluster = self._cluster
        for proxy in (*cluster.proxies, *cluster.peer_proxies, *cluster.caller_proxies):
            proxy.command("pass")

    def _inject(self, rng: random.Random, kinds: dict[str, Callable[["SoakFaults"], None]]) -> None:
        names = [name for name in kinds if not self._only or name in self._only]
        deadline = time.monotonic() + self._seconds
        while names and time.monotonic() < deadline:
            name = rng.choice(names)
            self.counts[name] += 1
            kinds[name](self)
            time.sleep(rng.uniform(0.1, 1.2))

    def _core(self) -> Program:
        return self._rng.choice(self._cluster.cores)

    def _upstream(self) -> int:
        return self._outer_rng.randrange(len(self._cluster.upstreams))

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

    def _disturb(self, core: Program, *, disk: str) -> None:
        core.set_faults(disk=disk)
        time.sleep(self._rng.uniform(0.2, 2.0))
        core.set_faults()

    def _tear(self, core: Program) -> None:
        """Lose power while a sync has written a part of its bytes."""
        core.set_faults(disk="torn")
        with contextlib.suppress(subprocess.TimeoutExpired):
            core.wait(timeout_s=2.0)
        core.set_faults()
        core.kill()
        core.start()

    def _step_clock(self) -> None:
        programs = [*self._cluster.cores, *self._cluster.frontends]
        moved = self._rng.sample(programs, self._rng.randrange(1, len(programs)))
        for program in moved:
            step_s = self._rng.uniform(-CLOCK_STEP_S, CLOCK_STEP_S)
            program.set_faults(clock_offset_s=step_s)
        time.sleep(self._rng.uniform(0.2, 2.0))
        for program in moved:
            program.set_faults()

    def _drain_upstream(self) -> None:
        number = self._upstream()
        upstream = self._cluster.upstreams[number]
        upstream.drain()
        deadline = time.monotonic() + DRAIN_TIMEOUT_S
        while not upstream.is_drain_acknowledged and time.monotonic() < deadline:
            time.sleep(0.05)
        time.sleep(DRAIN_GRACE_S + self._outer_rng.uniform(0.0, 2.0))
        self._replace_upstream(number)

    def _replace_upstream(self, number: int) -> None:
        self._cluster.upstreams[number].close()
        self._lives += 1
        self._cluster.upstreams[number] = self._cluster.new_upstream(
            number, f"i-{number}-{self._lives}"
        )

    def _proxy(self, command: str) -> None:
        self._outer_rng.choice(self._cluster.proxies).command(command)

    def _disturb_link(self, command: str) -> None:
        """Disturb what other instances send to a core, or what one of them sends."""
        target = self._link_rng.randrange(len(self._cluster.cores))
        proxy = self._cluster.peer_proxies[target]
        others = [core.host for core in self._cluster.cores if core.host != proxy.address.host]
        source = self._link_rng.choice(["", *(f" from {host}" for host in others)])
        proxy.command(command + source)
        time.sleep(self._link_rng.uniform(0.1, LINK_FAULT_S))
        proxy.command("pass" + source)

    def _reset_callers(self) -> None:
        number = self._link_rng.randrange(len(self._cluster.frontends))
        # Before the reset, so that a caller that sees it finds the time.
        self._cluster.frontends[number].reset_at = time.monotonic()
        self._cluster.caller_proxies[number].command("reset")
        self._cluster.frontends[number].reset_at = time.monotonic()


# Faults of programs; one comes after the other.
PROGRAM_FAULTS: dict[str, Callable[[SoakFaults], None]] = {
    "core killed": lambda faults: faults._kill(faults._core()),
    "core paused": lambda faults: faults._pause(faults._core()),
    "core stopped": lambda faults: faults._stop(faults._core()),
    "all cores killed": SoakFaults._kill_all,
    "disk lost": SoakFaults._wipe,
    "disk slow": lambda faults: faults._disturb(faults._core(), disk="slow"),
    "disk full": lambda faults: faults._disturb(faults._core(), disk="full"),
    "disk refuses": lambda faults: faults._disturb(faults._core(), disk="refuses"),
    "power lost in a sync": lambda faults: faults._tear(faults._core()),
    "time of day jumps": SoakFaults._step_clock,
    "frontend stopped": lambda faults: faults._stop(faults._rng.choice(faults._cluster.frontends)),
    "frontend killed": lambda faults: faults._kill(faults._rng.choice(faults._cluster.frontends)),
}
# Faults of upstreams and of the connections with them; they overlap with those of programs.
OUTER_FAULTS: dict[str, Callable[[SoakFaults], None]] = {
    "upstream crashed": lambda faults: faults._replace_upstream(faults._upstream()),
    "upstream drained": SoakFaults._drain_upstream,
    "connections reset": lambda faults: faults._proxy("reset"),
    "connections silent": lambda faults: faults._proxy("freeze"),
    "upstream cut off": lambda faults: faults._proxy("cut"),
    "upstream not heard": lambda faults: faults._proxy("cut down"),
    "upstream delayed": lambda faults: faults._proxy("delay 60"),
    "proxies pass": lambda faults: faults._proxy("pass"),
}
# Faults of connections between instances and with callers.
LINK_FAULTS: dict[str, Callable[[SoakFaults], None]] = {
    "peers cut off": lambda faults: faults._disturb_link("cut"),
    "peers cut one way": lambda faults: faults._disturb_link("cut up"),
    "peers delayed": lambda faults: faults._disturb_link("delay 40"),
    "peers' connections reset": lambda faults: faults._disturb_link("reset"),
    "peers' connections silent": lambda faults: faults._disturb_link("freeze"),
    "callers' connections reset": SoakFaults._reset_callers,
}
KINDS = (*PROGRAM_FAULTS, *OUTER_FAULTS, *LINK_FAULTS)
