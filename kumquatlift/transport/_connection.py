"""TCP connection between two processes, and the queue of frames to write on it."""

import socket
import threading
from collections import deque
from collections.abc import Iterable
from enum import Enum, auto
from typing import NamedTuple

from kumquatlift.transport._calls import Call
from kumquatlift.transport._envelope import HEARTBEAT, MAX_FRAME_BYTES, FrameReader

MAX_QUEUE_FRAMES = 10_000
MAX_QUEUE_BYTES = 2 * MAX_FRAME_BYTES
_READ_BYTES = 256 * 1024
# Bounds of one gathered write; the number of frames is well under the system's IOV_MAX.
_WRITE_BYTES = 256 * 1024
_WRITE_FRAMES = 256


class Frame(NamedTuple):
    """Encoded frame, and the call whose request it carries, if any."""

    data: bytes
    call: Call | None = None


class SendQueue:
    """Bounded queue of frames; any thread appends, the selector loop removes."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._frames: deque[Frame] = deque()
        self._bytes = 0

    def __bool__(self) -> bool:
        return bool(self._frames)

    def put(self, frame: Frame) -> bool:
        """Append a frame; return False when the queue is full."""
        with self._lock:
            if len(self._frames) >= MAX_QUEUE_FRAMES or self._bytes > MAX_QUEUE_BYTES:
                return False
            self._frames.append(frame)
            self._bytes += len(frame.data)
            return True

    def put_front(self, frames: list[Frame]) -> None:
        """Insert frames at the front, in the given order, even if the queue is full."""
        with self._lock:
            self._frames.extendleft(reversed(frames))
            self._bytes += sum(len(frame.data) for frame in frames)

    def pop_batch(self, *, max_bytes: int, max_frames: int) -> list[Frame]:
        """Remove and return the first frames, and discard those whose call has ended.

        Args:
            max_bytes: Stop at the frame that reaches this total; it is included.
            max_frames: Largest number of frames returned.
        """
        batch: list[Frame] = []
        with self._lock:
            while self._frames and max_bytes > 0 and len(batch) < max_frames:
                frame = self._frames.popleft()
                self._bytes -= len(frame.data)
                # A call that ended while it was queued has already failed as NOT_DELIVERED, so its
                # request must not be sent.
                if frame.call is None or frame.call.is_open:
                    batch.append(frame)
                    max_bytes -= len(frame.data)
        return batch


class Phase(Enum):
    """State of a connection."""

    CONNECTING = auto()
    GREETING = auto()
    """The TCP connection is open, and the peer's hello has not arrived yet."""
    READY = auto()
    RETIRED = auto()
    """Replaced by a newer connection; it only reads answers to the calls written on it."""


class Connection:
    """Socket with read and write state.

    Only the selector loop uses it, except that any thread may append to ``send_queue``.

    ``calls`` holds the calls that were written on this connection and are not answered yet. The
    ``uncounted_`` fields are added to the counters of the link, and reset, by the loop.

    Args:
        sock: Non-blocking socket.
        peer: Name of the peer; empty until its hello on a connection that the peer opened.
        is_outbound: Whether this process opened the connection.
        now: Current time in monotonic seconds.
    """

    def __init__(self, *, sock: socket.socket, peer: str, is_outbound: bool, now: float) -> None:
        self.sock = sock
        self.peer = peer
        self.is_outbound = is_outbound
        self.phase = Phase.CONNECTING if is_outbound else Phase.GREETING
        self.send_queue = SendQueue()
        self.calls: dict[int, Call] = {}
        self.opened_at = now
        self.last_contact_at = now
        self.last_ping_at = now
        self.unanswered_ping_at: float | None = None
        self.uncounted_bytes_received = 0
        self.uncounted_frames_sent = 0
        self._reader = FrameReader()
        self._partial_frame = memoryview(b"")

    def read(self, now: float) -> list[bytes]:
        """Read once from the socket.

        Returns:
            The complete frames, without their length prefix; a heartbeat is empty.

        Raises:
            OSError: The connection is lost.
            FrameError: The received bytes are not valid frames.
        """
        try:
            data = self.sock.recv(_READ_BYTES)
        except BlockingIOError:
            return []
        if not data:
            raise ConnectionResetError("closed by the peer")
        self.last_contact_at = now
        self.unanswered_ping_at = None
        self.uncounted_bytes_received += len(data)
        return self._reader.feed(data)

    def write(self) -> int:
        """Write queued frames until the queue is empty or the socket buffer is full.

        Returns:
            The number of bytes written.

        Raises:
            OSError: The connection is lost.
        """
        total = 0
        while self.wants_write:
            batch = self.send_queue.pop_batch(max_bytes=_WRITE_BYTES, max_frames=_WRITE_FRAMES)
            try:
                sent = self._send([self._partial_frame, *(frame.data for frame in batch)])
            except OSError:
                # No byte of these frames was written, so the next connection may send them.
                self.send_queue.put_front(batch)
                raise
            total += sent
            if not self._mark_written(batch, sent):
                break
        return total

    @property
    def wants_write(self) -> bool:
        """Whether there are bytes to write."""
        return bool(self._partial_frame or self.send_queue)

    def ping(self, now: float) -> None:
        """Queue a heartbeat, which the peer echoes."""
        self.send_queue.put_front([Frame(HEARTBEAT)])
        self.last_ping_at = now
        if self.unanswered_ping_at is None:
            self.unanswered_ping_at = now

    def unanswered_ping_s(self, now: float) -> float:
        """Return the seconds since the first unanswered heartbeat; 0 when all were answered."""
        return 0.0 if self.unanswered_ping_at is None else now - self.unanswered_ping_at

    def _send(self, buffers: Iterable[memoryview | bytes]) -> int:
        try:
            return self.sock.sendmsg(buffers)
        except BlockingIOError:
            return 0

    def _mark_written(self, batch: list[Frame], sent: int) -> bool:
        """Mark the calls of written frames, and keep the bytes that were not written.

        A partly written frame counts as written, as the peer may receive the remainder.

        Args:
            batch: Frames that were passed to the socket, after the partial frame.
            sent: Number of bytes that the socket accepted.

        Returns:
            Whether everything was written.
        """
        used = min(sent, len(self._partial_frame))
        self._partial_frame = self._partial_frame[used:]
        sent -= used
        for index, frame in enumerate(batch):
            if sent == 0:
                self.send_queue.put_front(batch[index:])
                return False
            self.uncounted_frames_sent += 1
            if frame.call is not None:
                frame.call.is_written = True
                self.calls[frame.call.id] = frame.call
            used = min(sent, len(frame.data))
            sent -= used
            if used < len(frame.data):
                self._partial_frame = memoryview(frame.data)[used:]
                self.send_queue.put_front(batch[index + 1 :])
                return False
        return not self._partial_frame
