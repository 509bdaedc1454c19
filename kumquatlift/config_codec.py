"""Bytes of the register's messages and of its stored state, by ``config.capnp``."""

from functools import cache
from pathlib import Path
from typing import Any, NamedTuple, TypeVar, cast

from kumquatlift.acceptor import (
    Accept,
    Accepted,
    Evidence,
    Prepare,
    Promise,
    Refusal,
    VoterState,
    VoterStatus,
)
from kumquatlift.config_value import Ballot, Change, Value

# The reader counts every word once; this allows a value of 64 MiB.
_MAX_WORDS = 8 * 1024 * 1024

T = TypeVar("T")


class Read(NamedTuple):
    """Asks a process for its configuration and for its status as a voter.

    Args:
        newer_than: The configuration is sent only when its version is higher.
        evidence: Evidence for the voter to confirm first; may be empty.
    """

    newer_than: int
    evidence: Evidence = ()


class ReadAnswer(NamedTuple):
    """Answer to ``Read``; ``status`` is None when the process is no voter."""

    status: VoterStatus | None
    value: Value | None


Message = Prepare | Promise | Accept | Accepted | Refusal | Read | ReadAnswer | Value | VoterState


class CodecError(ValueError):
    """Bytes that are not a message of the expected type."""


def encode(message: Message) -> bytes:
    """Encode a message."""
    name, fields = _fields(message)
    return cast(bytes, _schema().Message.new_message(**{name: fields}).to_bytes())


def decode(data: bytes, expected: type[T]) -> T:
    """Decode a message.

    Raises:
        CodecError: The bytes are no message, or one of another type.
    """
    message = _decode(data)
    if not isinstance(message, expected):
        raise CodecError(f"{type(message).__name__} where {expected.__name__} was expected")
    return message


def decode_vote(data: bytes) -> Promise | Accepted | Refusal:
    """Decode a voter's answer to ``Prepare`` or ``Accept``.

    Raises:
        CodecError: The bytes are no such answer.
    """
    message = _decode(data)
    if not isinstance(message, Promise | Accepted | Refusal):
        raise CodecError(f"{type(message).__name__} where a vote was expected")
    return message


@cache
def _schema() -> Any:
    import capnp

    capnp.remove_import_hook()
    return capnp.load(str(Path(__file__).with_name("config.capnp")))


def _decode(data: bytes) -> Message:
    import capnp

    try:
        with _schema().Message.from_bytes(data, traversal_limit_in_words=_MAX_WORDS) as reader:
            name = reader.which()
            fields = getattr(reader, str(name)).to_dict()
        return cast(Message, _READERS[str(name)](fields))
    except (capnp.KjException, KeyError, TypeError, ValueError) as exc:
        raise CodecError(f"not a message of the register: {exc}") from exc


def _fields(message: Message) -> tuple[str, dict[str, Any]]:
    if isinstance(message, Read):
        evidence = [{"voter": voter, "nonce": nonce} for voter, nonce in message.evidence]
        return "read", {"newerThan": message.newer_than, "evidence": evidence}
    if isinstance(message, ReadAnswer):
        fields = {"isVoter": message.status is not None, "value": _plain(message.value)}
        return "readAnswer", {**fields, "status": _plain(message.status)}
    name = type(message).__name__
    return name[0].lower() + name[1:], _plain(message)


def _plain(item: Any) -> Any:
    if item is None:
        return {}
    if isinstance(item, Change):
        row = item._asdict()
        return {"atMs": row.pop("at_ms"), **row}
    if isinstance(item, tuple) and hasattr(item, "_asdict"):
        return {key: _plain(value) for key, value in item._asdict().items()}
    return [_plain(value) for value in item] if isinstance(item, tuple) else item


def _ballot(fields: dict[str, Any]) -> Ballot:
    return Ballot(fields["number"], fields["proposer"])


def _value(fields: dict[str, Any]) -> Value | None:
    if not fields["version"]:
        return None
    changes = tuple(Change(at_ms=row.pop("atMs"), **row) for row in fields["changes"])
    return Value(fields["version"], fields["document"], changes, fields["register"])


def _some_value(fields: dict[str, Any]) -> Value:
    value = _value(fields)
    if value is None:
        raise CodecError("a value is missing")
    return value


def _status(fields: dict[str, Any]) -> VoterStatus:
    return VoterStatus(**{**fields, "accepted": _ballot(fields["accepted"])})


def _read_answer(fields: dict[str, Any]) -> ReadAnswer:
    status = _status(fields["status"]) if fields["isVoter"] else None
    return ReadAnswer(status, _value(fields["value"]))


_READERS: dict[str, Any] = {
    "prepare": lambda f: Prepare(f["register"], _ballot(f["ballot"])),
    "promise": lambda f: Promise(_ballot(f["ballot"]), _ballot(f["accepted"]), _value(f["value"])),
    "accept": lambda f: Accept(f["register"], _ballot(f["ballot"]), _some_value(f["value"])),
    "accepted": lambda f: Accepted(_ballot(f["ballot"])),
    "refusal": lambda f: Refusal(f["register"], _ballot(f["promised"])),
    "read": lambda f: Read(
        f["newerThan"], tuple((row["voter"], row["nonce"]) for row in f["evidence"])
    ),
    "readAnswer": _read_answer,
    "value": _some_value,
    "voterState": lambda f: VoterState(
        f["register"], _ballot(f["promised"]), _ballot(f["accepted"]), _value(f["value"])
    ),
}
