"""The soak's faults of processes, disks, the time of day, upstreams and connections."""

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

# Shortest time between two lost disks, so that the replica can first copy the log from the others.
DISK_LOSS_INTERVAL_S = 6.0
# Upstreams send two heartbeats a second; a change of leader delays their acknowledgement.
DRAIN_TIMEOUT_S = 3.0
# Longer than the detection of a lost leader and the election of another one take together.
MAX_LINK_FAULT_S = 2.0
MAX_CLOCK_STEP_S = 5.0


class FaultSchedule:
    """A seeded schedule of faults against a cluster.

    Args:
        cluster: Programs, upstreams and proxies.
        folder: Folder that contains the programs' folders.
        seed: Seed of the schedule.
        seconds: Length of the schedule.
        only: Kinds of faults to inject; empty for all.
        report_violation: Records a violated guarantee.
    """

    def __init__(
        self,
        *,
        cluster: Cluster,
        folder: Path,
        seed: int,
        seconds: float,
        only: tuple[str, ...],
        report_violation: Callable[[str], None],
    ) -> None:
        self._cluster = cluster
        self._folder = folder
        # One generator for each group of faults, since the groups run in parallel. Two are seeded
        # with texts, since a number and its negative would give the same sequence.
        self._rng = random.Random(seed)
        self._upstream_rng = random.Random(f"outer {seed}")
        self._link_rng = random.Random(f"link {seed}")
        self._seconds = seconds
        self._only = only
        self._report_violation = report_violation
        self._replacements = 0
        self._disk_lost_at = 0.0
        self.counts: Counter[str] = Counter()

    def run(self) -> None:
        """Inject faults for the length of the schedule, the three groups in parallel."""
        groups = (
            (self._rng, PROGRAM_FAULTS),
            (self._upstream_rng, UPSTREAM_FAULTS),
            (self._link_rng, LINK_FAULTS),
        )
        with ThreadPoolExecutor(len(groups), thread_name_prefix="fault") as executor:
            futs = [executor.submit(self._inject_until_deadline, *group) for group in groups]
        for fut in futs:
            fut.result()

    def heal(self) -> None:
        """End the faults of all proxies."""
        cluster = self._cluster
        for proxy in (*cluster.proxies, *cluster.peer_proxies, *cluster.caller_proxies):
            proxy.command("pass")

    def _inject_until_deadline(
        self, rng: random.Random, faults: dict[str, Callable[["FaultSchedule"], None]]
    ) -> None:
        names = [name for name in faults if not self._only or name in self._only]
        deadline = time.monotonic() + self._seconds
        while names and time.monotonic() < deadline:
            name = rng.choice(names)
            self.counts[name] += 1
            faults[name](self)
            time.sleep(rng.uniform(0.1, 1.2))

    def _random_core(self) -> Program:
        return self._rng.choice(self._cluster.cores)

    def _random_upstream(self) -> int:
        return self._upstream_rng.randrange(len(self._cluster.upstreams))

    def _restart_after_kill(self, program: Program) -> None:
        program.kill()
        time.sleep(self._rng.uniform(0.0, 0.8))
        program.start()

    def _restart_all_cores(self) -> None:
        for core in self._cluster.cores:
            core.kill()
        for core in self._cluster.cores:
            core.start()

    def _pause(self, program: Program) -> None:
        program.signal(signal.SIGSTOP)
        time.sleep(self._rng.uniform(0.1, 2.0))
        program.signal(signal.SIGCONT)

    def _restart_gracefully(self, program: Program) -> None:
        # A signal that arrives before the program has set its handlers ends Python at once with
        # another exit code. That is no violation, since the program serves nothing yet.
        is_started = program.is_started
        program.signal(signal.SIGTERM)
        if program.wait() != 0 and is_started:
            self._report_violation(
                f"{program.role} {program.host} did not exit with code 0 after SIGTERM"
            )
        program.start()

    def _lose_disk(self) -> None:
        """Delete the data of a core, if the other cores answer and the last loss is long ago."""
        if time.monotonic() - self._disk_lost_at < DISK_LOSS_INTERVAL_S:
            return
        others = self._cluster.cores[1:]
        if any(try_call(core.control, "GET", "/api/config/describe")[0] != 200 for core in others):
            return
        victim = self._cluster.cores[0]
        victim.kill()
        # A core that was killed while it started has no data yet.
        with contextlib.suppress(FileNotFoundError):
            shutil.rmtree(self._folder / victim.host / "data")
        victim.start()
        self._disk_lost_at = time.monotonic()

    def _inject_disk_fault(self, core: Program, *, disk: str) -> None:
        core.set_faults(disk=disk)
        time.sleep(self._rng.uniform(0.2, 2.0))
        core.set_faults()

    def _lose_power_in_sync(self, core: Program) -> None:
        """Lose power after a sync has written only a part of its bytes."""
        core.set_faults(disk="torn")
        with contextlib.suppress(subprocess.TimeoutExpired):
            core.wait(timeout_s=2.0)
        core.set_faults()
        core.kill()
        core.start()

    def _step_clock(self) -> None:
        programs = [*self._cluster.cores, *self._cluster.frontends]
        stepped = self._rng.sample(programs, self._rng.randrange(1, len(programs)))
        for program in stepped:
            step_s = self._rng.uniform(-MAX_CLOCK_STEP_S, MAX_CLOCK_STEP_S)
            program.set_faults(clock_offset_s=step_s)
        time.sleep(self._rng.uniform(0.2, 2.0))
        for program in stepped:
            program.set_faults()

    def _drain_upstream(self) -> None:
        number = self._random_upstream()
        upstream = self._cluster.upstreams[number]
        upstream.drain()
        deadline = time.monotonic() + DRAIN_TIMEOUT_S
        while not upstream.is_drain_acknowledged and time.monotonic() < deadline:
            time.sleep(0.05)
        time.sleep(DRAIN_GRACE_S + self._upstream_rng.uniform(0.0, 2.0))
        self._replace_upstream(number)

    def _replace_upstream(self, number: int) -> None:
        self._cluster.upstreams[number].close()
        self._replacements += 1
        self._cluster.upstreams[number] = self._cluster.new_upstream(
            number, f"i-{number}-{self._replacements}"
        )

    def _command_random_proxy(self, command: str) -> None:
        self._upstream_rng.choice(self._cluster.proxies).command(command)

    def _inject_link_fault(self, command: str) -> None:
        """Disturb for a time what all other instances, or one of them, send to a core."""
        target = self._link_rng.randrange(len(self._cluster.cores))
        proxy = self._cluster.peer_proxies[target]
        others = [core.host for core in self._cluster.cores if core.host != proxy.address.host]
        source = self._link_rng.choice(["", *(f" from {host}" for host in others)])
        proxy.command(command + source)
        time.sleep(self._link_rng.uniform(0.1, MAX_LINK_FAULT_S))
        proxy.command("pass" + source)

    def _reset_callers(self) -> None:
        number = self._link_rng.randrange(len(self._cluster.frontends))
        # Set before the reset as well, so that a caller that sees the reset finds a recent time.
        self._cluster.frontends[number].reset_at = time.monotonic()
        self._cluster.caller_proxies[number].command("reset")
        self._cluster.frontends[number].reset_at = time.monotonic()


# Faults of programs, injected one at a time. Recorded seeds depend on the names in these tables
# and on their order.
PROGRAM_FAULTS: dict[str, Callable[[FaultSchedule], None]] = {
    "core killed": lambda schedule: schedule._restart_after_kill(schedule._random_core()),
    "core paused": lambda schedule: schedule._pause(schedule._random_core()),
    "core stopped": lambda schedule: schedule._restart_gracefully(schedule._random_core()),
    "all cores killed": FaultSchedule._restart_all_cores,
    "disk lost": FaultSchedule._lose_disk,
    "disk slow": lambda schedule: schedule._inject_disk_fault(schedule._random_core(), disk="slow"),
    "disk full": lambda schedule: schedule._inject_disk_fault(schedule._random_core(), disk="full"),
    "disk refuses": lambda schedule: schedule._inject_disk_fault(
        schedule._random_core(), disk="refuses"
    ),
    "power lost in a sync": lambda schedule: schedule._lose_power_in_sync(schedule._random_core()),
    "time of day jumps": FaultSchedule._step_clock,
    "frontend stopped": lambda schedule: schedule._restart_gracefully(
        schedule._rng.choice(schedule._cluster.frontends)
    ),
    "frontend killed": lambda schedule: schedule._restart_after_kill(
        schedule._rng.choice(schedule._cluster.frontends)
    ),
}
# Faults of upstreams and of their connections, injected in parallel with the other groups.
UPSTREAM_FAULTS: dict[str, Callable[[FaultSchedule], None]] = {
    "upstream crashed": lambda schedule: schedule._replace_upstream(schedule._random_upstream()),
    "upstream drained": FaultSchedule._drain_upstream,
    "connections reset": lambda schedule: schedule._command_random_proxy("reset"),
    "connections silent": lambda schedule: schedule._command_random_proxy("freeze"),
    "upstream cut off": lambda schedule: schedule._command_random_proxy("cut"),
    "upstream not heard": lambda schedule: schedule._command_random_proxy("cut down"),
    "upstream delayed": lambda schedule: schedule._command_random_proxy("delay 60"),
    "proxies pass": lambda schedule: schedule._command_random_proxy("pass"),
}
# Faults of connections between instances and of connections with callers.
LINK_FAULTS: dict[str, Callable[[FaultSchedule], None]] = {
    "peers cut off": lambda schedule: schedule._inject_link_fault("cut"),
    "peers cut one way": lambda schedule: schedule._inject_link_fault("cut up"),
    "peers delayed": lambda schedule: schedule._inject_link_fault("delay 40"),
    "peers' connections reset": lambda schedule: schedule._inject_link_fault("reset"),
    "peers' connections silent": lambda schedule: schedule._inject_link_fault("freeze"),
    "callers' connections reset": FaultSchedule._reset_callers,
}
FAULT_KINDS = (*PROGRAM_FAULTS, *UPSTREAM_FAULTS, *LINK_FAULTS)
