"""Encodes and decodes the register's messages and stored state, as in ``config.capnp``."""

from typing import Any, NamedTuple, TypeVar, cast

from kumquatlift._schema import load_schema
from kumquatlift.configuration.acceptor import (
    Accept,
    Accepted,
    Evidence,
    Prepare,
    Promise,
    Refusal,
    VoterState,
    VoterStatus,
)
from kumquatlift.configuration.value import Ballot, Change, Value

# The reader counts each word of 8 bytes once; this allows a value of 64 MiB.
_MAX_WORDS = 8 * 1024 * 1024

T = TypeVar("T")


class Read(NamedTuple):
    """Asks a process for its configuration and for its status as a voter.

    Args:
        newer_than: The configuration is sent only if its version is higher.
        evidence: Evidence that the voter confirms before it answers; may be empty.
    """

    newer_than: int
    evidence: Evidence = ()


class ReadAnswer(NamedTuple):
    """Answer to ``Read``.

    Args:
        status: Status of the process as a voter; None when it is not a voter.
        value: Configuration in force; None when it is not newer than the one asked for.
    """

    status: VoterStatus | None
    value: Value | None


Message = Prepare | Promise | Accept | Accepted | Refusal | Read | ReadAnswer | Value | VoterState


class CodecError(ValueError):
    """The bytes are not a message of the expected type."""


def encode(message: Message) -> bytes:
    """Encode a message."""
    if isinstance(message, Value):
        builder = load_schema("configuration/config").Message.new_message()
        _write_value(builder.init("value"), message)
        return cast(bytes, builder.to_bytes())
    name, fields = _fields(message)
    builder = load_schema("configuration/config").Message.new_message(**{name: fields})
    value = getattr(message, "value", None)
    if value is not None:
        _write_value(getattr(builder, name).init("value"), value)
    return cast(bytes, builder.to_bytes())


def decode(data: bytes, expected: type[T]) -> T:
    """Decode a message.

    Raises:
        CodecError: The bytes are not a message of the expected type.
    """
    message = _decode(data)
    if not isinstance(message, expected):
        raise CodecError(f"{type(message).__name__} where {expected.__name__} was expected")
    return message


def decode_vote(data: bytes) -> Promise | Accepted | Refusal:
    """Decode a voter's answer to ``Prepare`` or ``Accept``.

    Raises:
        CodecError: The bytes are not such an answer.
    """
    message = _decode(data)
    if not isinstance(message, Promise | Accepted | Refusal):
        raise CodecError(f"{type(message).__name__} where a vote was expected")
    return message


def _decode(data: bytes) -> Message:
    import capnp

    try:
        with load_schema("configuration/config").Message.from_bytes(
            data, traversal_limit_in_words=_MAX_WORDS
        ) as reader:
            name = str(reader.which())
            return cast(Message, _READERS[name](getattr(reader, name)))
    except (capnp.KjException, KeyError, TypeError, ValueError) as exc:
        raise CodecError(f"not a message of the register: {exc}") from exc


def _fields(message: Message) -> tuple[str, dict[str, Any]]:
    """Return the union member of a message, and its fields other than ``value``."""
    if isinstance(message, Read):
        evidence = [{"voter": voter, "nonce": nonce} for voter, nonce in message.evidence]
        return "read", {"newerThan": message.newer_than, "evidence": evidence}
    if isinstance(message, ReadAnswer):
        fields = {"isVoter": message.status is not None}
        return "readAnswer", {**fields, "status": _to_plain(message.status) or {}}
    name = type(message).__name__
    return name[0].lower() + name[1:], _to_plain(message)


def _to_plain(item: Any) -> Any:
    if not hasattr(item, "_asdict"):
        return item
    return {key: _to_plain(value) for key, value in item._asdict().items() if key != "value"}


# Values are written and read field by field: with 200 changes pycapnp's conversion from and to
# dicts takes more than ten times as long to write and four times as long to read.
def _write_value(builder: Any, value: Value) -> None:
    builder.version, builder.document, builder.register = (
        value.version,
        value.document,
        value.register,
    )
    rows = builder.init("changes", len(value.changes))
    for row, change in zip(rows, value.changes, strict=True):
        row.id, row.version, row.code, row.digest, row.operator, row.atMs = change


def _read_value(reader: Any) -> Value | None:
    if not reader.version:
        return None
    changes = tuple(
        Change(row.id, row.version, row.code, row.digest, row.operator, row.atMs)
        for row in reader.changes
    )
    return Value(reader.version, reader.document, changes, reader.register)


def _read_required_value(reader: Any) -> Value:
    value = _read_value(reader)
    if value is None:
        raise CodecError("the message has no value")
    return value


def _read_ballot(reader: Any) -> Ballot:
    return Ballot(reader.number, reader.proposer)


def _read_answer(reader: Any) -> ReadAnswer:
    row = reader.status
    status = VoterStatus(
        row.register, _read_ballot(row.accepted), row.version, row.nonce, row.confirmed
    )
    return ReadAnswer(status if reader.isVoter else None, _read_value(reader.value))


_READERS: dict[str, Any] = {
    "prepare": lambda r: Prepare(r.register, _read_ballot(r.ballot)),
    "promise": lambda r: Promise(
        _read_ballot(r.ballot), _read_ballot(r.accepted), _read_value(r.value)
    ),
    "accept": lambda r: Accept(r.register, _read_ballot(r.ballot), _read_required_value(r.value)),
    "accepted": lambda r: Accepted(_read_ballot(r.ballot)),
    "refusal": lambda r: Refusal(r.register, _read_ballot(r.promised)),
    "read": lambda r: Read(r.newerThan, tuple((row.voter, row.nonce) for row in r.evidence)),
    "readAnswer": _read_answer,
    "value": _read_required_value,
    "voterState": lambda r: VoterState(
        r.register,
        _read_ballot(r.promised),
        _read_ballot(r.accepted),
        _read_value(r.value),
        r.nonce,
        r.confirmed,
    ),
}
