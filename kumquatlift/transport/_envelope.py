"""Encoding of frames between processes: a length prefix and a Cap'n Proto envelope."""

import struct
from enum import IntEnum
from typing import NamedTuple

from kumquatlift._schema import load_schema
from kumquatlift.codes import ResultCode
from kumquatlift.configuration.document import MAX_REQUEST_BYTES
from kumquatlift.failure import Failure

# A forwarded job is a caller's request plus identity fields; answers may be larger.
MAX_FRAME_BYTES = 2 * MAX_REQUEST_BYTES
HEARTBEAT = b"\0\0\0\0"
_LENGTH = struct.Struct("<I")


class FrameKind(IntEnum):
    """Kind of a frame; the values are those of ``envelope.capnp``."""

    HELLO = 0
    REQUEST = 1
    NOTICE = 2
    ANSWER = 3
    REFUSED = 4
    FAILED = 5


class Envelope(NamedTuple):
    """Decoded frame; ``envelope.capnp`` describes the fields."""

    kind: FrameKind
    id: int
    topic: str
    body: bytes


class FrameError(Exception):
    """The peer sent bytes or a frame that the protocol does not allow."""


def encode(kind: FrameKind, call_id: int, topic: str, body: bytes) -> bytes:
    """Return an encoded frame with its length prefix."""
    message = load_schema("transport/envelope").Envelope.new_message()
    message.kind = int(kind)
    message.id = call_id
    message.topic = topic
    message.body = body
    data: bytes = message.to_bytes()
    return _LENGTH.pack(len(data)) + data


def decode(data: bytes) -> Envelope:
    """Decode an envelope that has no length prefix.

    Raises:
        FrameError: The bytes are not a valid envelope.
    """
    import capnp

    try:
        with load_schema("transport/envelope").Envelope.from_bytes(data) as message:
            return Envelope(FrameKind(message.kind.raw), message.id, message.topic, message.body)
    except (capnp.KjException, ValueError) as exc:
        raise FrameError(f"not an envelope: {str(exc)[:100]}") from exc


class FrameReader:
    """Splits the byte stream of a connection into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes.

        Returns:
            The envelopes completed by them, without length prefix; a heartbeat is empty.

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
    """Convert an answer to the result of its call.

    A refusal becomes ``NOT_DELIVERED``, as the handler was not started. A failure of the handler
    becomes ``TIMED_OUT``, as its effect is unknown.
    """
    if kind is FrameKind.ANSWER:
        return reply
    reason = reply.decode("utf-8", "replace")
    if kind is FrameKind.REFUSED:
        return Failure(ResultCode.NOT_DELIVERED, f"refused before the start: {reason}")
    return Failure(ResultCode.TIMED_OUT, f"the handler failed: {reason}")
