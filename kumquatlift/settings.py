"""Settings file of one process: its addresses, availability zone, data folder and seed peers."""

import tomllib
from pathlib import Path
from typing import Annotated, Literal, NamedTuple

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from kumquatlift.configuration.document import Name, Problem

_ADDRESS = r"^(?:[0-9]{1,3}(?:\.[0-9]{1,3}){3}|\[[0-9a-fA-F:]+\]):[0-9]{1,5}$"
AddressText = Annotated[str, Field(pattern=_ADDRESS)]


class Address(NamedTuple):
    """IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``ip:port``; an IPv6 address is in square brackets.

        Raises:
            ValueError: The text has no host, no port, or a port outside 1 to 65535.
        """
        host, _, port = text.rpartition(":")
        number = int(port)
        if not host or not 0 < number < 65536:
            raise ValueError(f"not an address of the form ip:port: {text!r}")
        return cls(host.strip("[]"), number)


class OperatorToken(NamedTuple):
    """An operator's name and the SHA-256 digest of the operator's token, in hex."""

    name: Name
    sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class Settings(NamedTuple):
    """Settings file of one entry process.

    Args:
        name: Name of the process, unique among all entry processes.
        zone: Availability zone of the process.
        callers: Address on which callers are served.
        runners: Address on which runners' announcements are received.
        operators: Address of the console and the administration API.
        peers: Address on which other entry processes are served, over TCP and UDP.
        peers_announced: Address at which other entry processes reach ``peers`` through a proxy or
            an address translation; empty if they reach it directly.
        seeds: ``peers`` addresses of entry processes that are contacted first.
        data_folder: Folder for durable state; empty for an instance without a disk.
        first_document: Configuration file, used only if no entry process has a configuration yet.
        operator_tokens: Operators who may read and change the configuration.
    """

    name: Name
    zone: Name
    callers: AddressText
    runners: AddressText
    operators: AddressText
    peers: AddressText
    peers_announced: AddressText | Literal[""] = ""
    seeds: tuple[AddressText, ...] = ()
    data_folder: str = ""
    first_document: str = ""
    operator_tokens: tuple[OperatorToken, ...] = ()

    @classmethod
    def from_file(cls, path: Path) -> "Settings | list[Problem]":
        """Read and validate a settings file.

        Returns:
            The settings, or a list of all problems found.
        """
        try:
            source = tomllib.loads(path.read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
            return [Problem(str(path), f"cannot be read: {exc}", "")]
        try:
            return TypeAdapter(cls, config=ConfigDict(extra="forbid")).validate_python(source)
        except ValidationError as exc:
            return [Problem.from_error(error) for error in exc.errors()]
