"""Encoding of gossip datagrams: the packed encoding of ``gossip.capnp``."""

from typing import Any, NamedTuple

from kumquatlift._schema import load_schema
from kumquatlift.membership.members import Member, MemberState
from kumquatlift.membership.view import Digest, Heartbeat, Record

# Below the smallest path MTU in use, so that datagrams are not fragmented.
MAX_DATAGRAM_BYTES = 1200
_COUNTER_MASK = (1 << 32) - 1


class Message(NamedTuple):
    """Content of one datagram."""

    digest: Digest
    wanted: tuple[int, ...] = ()
    records: tuple[Record, ...] = ()


def encode(message: Message) -> bytes:
    """Return a datagram; records that don't fit are dropped, and receivers request them again."""
    data = _pack(message)
    while len(data) > MAX_DATAGRAM_BYTES and message.records:
        message = message._replace(records=message.records[:-1])
        data = _pack(message)
    return data


def decode(data: bytes) -> Message:
    """Decode a datagram.

    Raises:
        ValueError: The bytes are not a gossip message.
    """
    import capnp

    try:
        return _read(load_schema("membership/gossip").Gossip.from_bytes_packed(data))
    except (capnp.KjException, ValueError) as exc:
        raise ValueError(f"not gossip: {str(exc)[:100]}") from exc


def _pack(message: Message) -> bytes:
    out = load_schema("membership/gossip").Gossip.new_message()
    digest = message.digest
    out.sender = digest.sender.key
    out.counter = digest.sender.counter & _COUNTER_MASK
    out.configVersion = digest.config_version
    if digest.relayed:
        out.heard = [beat.key << 8 | beat.counter & 0xFF for beat in digest.relayed]
    if message.wanted:
        out.wanted = list(message.wanted)
    if message.records:
        records = out.init("records", len(message.records))
        for builder, record in zip(records, message.records, strict=True):
            _write_record(builder, record)
    data: bytes = out.to_bytes_packed()
    return data


def _write_record(builder: Any, record: Record) -> None:
    member = record.member
    builder.name, builder.zone = member.name, member.zone
    builder.callers, builder.runners, builder.peers = member.callers, member.runners, member.peers
    builder.incarnation = member.incarnation
    builder.isLeaving = member.state is MemberState.LEAVING
    builder.configVersion = member.config_version
    builder.counter = record.counter & _COUNTER_MASK


def _read(message: Any) -> Message:
    relayed = tuple(Heartbeat(beat >> 8, beat & 0xFF) for beat in message.heard)
    return Message(
        Digest(Heartbeat(message.sender, message.counter), message.configVersion, relayed),
        tuple(message.wanted),
        tuple(_read_record(reader) for reader in message.records),
    )


def _read_record(reader: Any) -> Record:
    state = MemberState.LEAVING if reader.isLeaving else MemberState.SERVING
    member = Member(
        reader.name,
        reader.zone,
        reader.callers,
        reader.runners,
        reader.peers,
        reader.incarnation,
        state,
        reader.configVersion,
    )
    return Record(member, reader.counter)
