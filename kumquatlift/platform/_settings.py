"""Settings of a process on the platform.

The platform renders the template ``deploy/settings.toml`` to a file for each process.
"""

import os
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple

from pydantic import ConfigDict, Field, StrictBool, TypeAdapter, ValidationError

from kumquatlift.settings import Address, AddressText

IpText = Annotated[str, Field(pattern=r"^[0-9]{1,3}(?:\.[0-9]{1,3}){3}$")]
Port = Annotated[int, Field(gt=0, lt=65_000)]
SETTINGS_VARIABLE = "KUMQUATLIFT_NODE_FILE"


class SettingsError(Exception):
    """The settings are missing or not valid."""


class Listen(NamedTuple):
    """Addresses on which a process listens, each "ip:port"; empty for none.

    Args:
        callers: For callers' requests, which the platform forwards.
        readiness: For the platform's readiness checks.
        control: For upstreams and operators.
        metrics: For scrapes of the metrics.
    """

    callers: AddressText | Literal[""] = ""
    readiness: AddressText | Literal[""] = ""
    control: AddressText | Literal[""] = ""
    metrics: AddressText | Literal[""] = ""


class Bounds(NamedTuple):
    """Limits and guarantees of the platform that the product relies on.

    Args:
        tolerated_machines: Machines with a disk that may fail at the same time.
        lease_ms: Longest lease that an upstream accepts, in milliseconds.
        grace_s: Time from SIGTERM to SIGKILL, in seconds.
        state_kept_s: Time for which callers may query a job after its end, in seconds.
        remote_factor: Factor by which a task takes longer on another rack than that of its data.
        resubmit_ms: Time after which a caller submits a job again whose connection broke, in
            milliseconds.
    """

    tolerated_machines: int = 1
    lease_ms: int = 1000
    grace_s: float = 6.0
    state_kept_s: float = 120.0
    remote_factor: float = 2.0
    resubmit_ms: int = 1300


class Admission(NamedTuple):
    """How jobs are accepted while a service is full.

    Args:
        fair_shares: Whether the queues and zones of callers of a service get fair shares of it.
    """

    fair_shares: StrictBool = False


class Placement(NamedTuple):
    """How tasks are placed.

    Args:
        keeps_apart: Whether queues that slow each other down are noticed and kept apart.
    """

    keeps_apart: StrictBool = False


class PlatformSettings(NamedTuple):
    """Settings of one process.

    Args:
        name: Name of the machine.
        zone: Availability zone.
        host: IP address.
        internal_port: Port for the channel between instances, the same on all machines.
        seeds: Control addresses of up to three instances with a disk, each "ip:port".
        is_first_formation: Whether the whole system starts for the first time.
        data_folder: Folder for durable state; empty without a disk.
        disk_mb: Size of the disk, in megabytes.
        listen: Addresses on which the process listens.
        bounds: Limits and guarantees of the platform.
        admission: How jobs are accepted while a service is full.
        zones: All availability zones, in which upstreams may be.
        placement: How tasks are placed.
    """

    name: str
    zone: str
    host: IpText
    internal_port: Port
    seeds: tuple[AddressText, ...]
    is_first_formation: bool
    data_folder: str
    disk_mb: int
    listen: Listen
    bounds: Bounds
    admission: Admission = Admission()
    zones: tuple[str, ...] = ()
    placement: Placement = Placement()

    @classmethod
    def from_text(cls, text: str) -> "PlatformSettings":
        """Parse settings in TOML.

        Raises:
            SettingsError: The text is not valid; the message lists every problem.
        """
        try:
            source: dict[str, Any] = tomllib.loads(text)
            return TypeAdapter(cls, config=ConfigDict(extra="forbid")).validate_python(source)
        except tomllib.TOMLDecodeError as exc:
            raise SettingsError(f"not TOML: {exc}") from exc
        except ValidationError as exc:
            problems = [
                f"{'.'.join(str(part) for part in error['loc'])}: {error['msg']}"
                for error in exc.errors()
            ]
            raise SettingsError("; ".join(problems)) from exc

    @classmethod
    def from_environment(cls) -> "PlatformSettings":
        """Read the file that the environment variable ``KUMQUATLIFT_NODE_FILE`` names.

        Raises:
            SettingsError: The variable is not set, or the file is missing or not valid.
        """
        path = os.environ.get(SETTINGS_VARIABLE)
        if not path:
            raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
        try:
            return cls.from_text(Path(path).read_text(encoding="utf-8"))
        except OSError as exc:
            raise SettingsError(f"{path}: {exc}") from exc

    @property
    def peer_name(self) -> str:
        """Name of this process on the channel between instances: its address, "ip:port"."""
        return f"{self.host}:{self.internal_port}"

    @property
    def contacts(self) -> tuple[str, ...]:
        """Names of the seeds on the channel between instances."""
        hosts = [Address.parse(seed).host for seed in self.seeds]
        return tuple(f"{host}:{self.internal_port}" for host in hosts)


def locate(peer: str) -> Address | None:
    """Return the address of a process on the channel, which is also its name; None if invalid."""
    try:
        return Address.parse(peer)
    except ValueError:
        return None
