"""Frames between entry processes: a length and one Cap'n Proto envelope."""

import struct
from enum import IntEnum
from typing import NamedTuple

from kumquatlift._schema import load_schema
from kumquatlift.codes import ResultCode
from kumquatlift.configuration.document import MAX_REQUEST_BYTES
from kumquatlift.failure import Failure

# A forwarded job is a request of a caller with some identity added; answers may be larger.
MAX_FRAME_BYTES = 2 * MAX_REQUEST_BYTES
HEARTBEAT = b"\0\0\0\0"
_LENGTH = struct.Struct("<I")


class FrameKind(IntEnum):
    """What a frame is; the numbers are those of ``envelope.capnp``."""

    HELLO = 0
    REQUEST = 1
    NOTICE = 2
    ANSWER = 3
    REFUSED = 4
    FAILED = 5


class Envelope(NamedTuple):
    """One frame; ``envelope.capnp`` describes the fields."""

    kind: FrameKind
    id: int
    topic: str
    body: bytes


class FrameError(Exception):
    """The bytes of a connection are not frames of this protocol."""


def encode(kind: FrameKind, call_id: int, topic: str, body: bytes) -> bytes:
    """Return a frame with its length in front."""
    message = load_schema("transport/envelope").Envelope.new_message()
    message.kind = int(kind)
    message.id = call_id
    message.topic = topic
    message.body = body
    data: bytes = message.to_bytes()
    return _LENGTH.pack(len(data)) + data


def decode(data: bytes) -> Envelope:
    """Read an envelope without its length.

    Raises:
        FrameError: The bytes are not an envelope.
    """
    import capnp

    try:
        with load_schema("transport/envelope").Envelope.from_bytes(data) as message:
            return Envelope(FrameKind(message.kind.raw), message.id, message.topic, message.body)
    except (capnp.KjException, ValueError) as exc:
        raise FrameError(f"not an envelope: {str(exc)[:100]}") from exc


class FrameReader:
    """Cuts the bytes of a connection into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes that arrived.

        Returns:
            The envelopes that are complete now, without their length; a heartbeat is empty.

        Raises:
            FrameError: A frame is longer than ``MAX_FRAME_BYTES``.
        """
        self._buffer += data
        frames: list[bytes] = []
        start = 0
        while len(self._buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, start)
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"frame of {length} bytes, at most {MAX_FRAME_BYTES} are allowed")
            end = start + _LENGTH.size + length
            if len(self._buffer) < end:
                break
            frames.append(bytes(memoryview(self._buffer)[start + _LENGTH.size : end]))
            start = end
        del self._buffer[:start]
        return frames


def call_result(kind: FrameKind, reply: bytes) -> bytes | Failure:
    """Return the result of a call that got an answer of a kind."""
    if kind is FrameKind.ANSWER:
        return reply
    reason = reply.decode("utf-8", "replace")
    if kind is FrameKind.REFUSED:
        return Failure(ResultCode.NOT_DELIVERED, f"refused before the start: {reason}")
    return Failure(ResultCode.TIMED_OUT, f"the handler failed: {reason}")
