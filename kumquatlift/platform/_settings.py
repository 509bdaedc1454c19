"""Settings of a process on the platform, from the file that ``deploy/settings.toml`` becomes."""

import os
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from kumquatlift.settings import Address, AddressText

IpText = Annotated[str, Field(pattern=r"^[0-9]{1,3}(?:\.[0-9]{1,3}){3}$")]
Port = Annotated[int, Field(gt=0, lt=65_000)]
SETTINGS_VARIABLE = "KUMQUATLIFT_NODE_FILE"


class SettingsError(Exception):
    """The settings cannot be used."""


class Listen(NamedTuple):
    """Addresses that a process serves; empty for none.

    Args:
        callers: Where the platform forwards callers.
        readiness: Where the platform asks whether to send callers.
        control: Where upstreams and operators call.
        metrics: Where engineers read the metrics.
    """

    callers: AddressText | Literal[""] = ""
    readiness: AddressText | Literal[""] = ""
    control: AddressText | Literal[""] = ""
    metrics: AddressText | Literal[""] = ""


class Bounds(NamedTuple):
    """Bounds of the platform that the product works with.

    Args:
        tolerated_machines: Machines with a disk that may be lost at a time.
        lease_ms: Longest lease that an upstream accepts.
        grace_s: Time from SIGTERM to SIGKILL.
        state_kept_s: Time for which callers may ask for an ended job.
        remote_factor: Run time on another rack than the data's, as a multiple.
    """

    tolerated_machines: int = 1
    lease_ms: int = 1000
    grace_s: float = 6.0
    state_kept_s: float = 120.0
    remote_factor: float = 2.0


class PlatformSettings(NamedTuple):
    """Settings of one process.

    Args:
        name: Name of the machine.
        zone: Availability zone.
        host: IP number.
        internal_port: Port for the product's own processes, the same on all machines.
        seeds: Control addresses of up to three instances with a disk.
        is_first_formation: Whether the whole system starts for the first time.
        data_folder: Folder for durable state; empty without a disk.
        disk_mb: Size of the disk.
        listen: Addresses served.
        bounds: Bounds of the platform.
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

    @classmethod
    def from_text(cls, text: str) -> "PlatformSettings":
        """Read settings.

        Raises:
            SettingsError: The text is not valid; the message names every problem.
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
        """Read the file that the environment names.

        Raises:
            SettingsError: There is no such file, or it is not valid.
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
        """Name of this process on the product's channel: its own address."""
        return f"{self.host}:{self.internal_port}"

    @property
    def contacts(self) -> tuple[str, ...]:
        """Channel names of the seeds."""
        hosts = [Address.parse(seed).host for seed in self.seeds]
        return tuple(f"{host}:{self.internal_port}" for host in hosts)


def locate(peer: str) -> Address | None:
    """Return the address of a process on the channel, which its name is."""
    try:
        return Address.parse(peer)
    except ValueError:
        return None
