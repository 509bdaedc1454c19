"""Structured logs: one line of key=value pairs for each event."""

import logging
import sys
import threading
import time
from collections import deque
from typing import Any, Protocol, TextIO

import structlog

from kumquatlift.blackboard import Blackboard, Section

# Lines queued while the stream is slow; further lines are dropped and counted.
MAX_WAITING_LINES = 5000
# Queued lines are written together at this interval, since each write is a system call.
WRITE_INTERVAL_S = 0.1
# Bytes of one write: PIPE_BUF of Linux. A pipe takes a write of this size as a whole, and readers
# with small buffers were seen to cut longer ones.
MAX_WRITE_BYTES = 4096
# Ends a line that was cut to ``MAX_WRITE_BYTES``.
CUT_MARK = b"...\n"
FINISH_POLL_INTERVAL_S = 0.01


class Output(Protocol):
    """Where the lines are written."""

    def write(self, data: bytes, /) -> int | None:
        """Write bytes; return how many were taken, None or 0 if the output is full."""


class LineWriter:
    """File-like object that never blocks its callers; a separate thread writes the lines.

    The thread is a daemon thread, not one of an executor: the executor would have to be shut down
    after every other executor, since their threads log until they end.

    Args:
        stream: Stream to which the lines are written. Its buffers are bypassed, because they
            do not tell how much of a write was taken.
        section: Section of the blackboard whose counter ``lines_dropped`` is kept.
    """

    def __init__(self, *, stream: TextIO, section: Section | None = None) -> None:
        self._output = _unbuffered(stream)
        self._section = section or Blackboard().section("log")
        self._lines: deque[str] = deque()
        self._is_writing = False
        # What the output has not taken of the current piece. Its last ``_own_bytes`` are lines of
        # callers; a report of drops may come before them.
        self._rest = b""
        self._own_bytes = 0
        # Drops that the reports written so far, and the one in the current piece, add up to.
        self._reported = 0
        self._reported_with_piece = 0
        # Whether a failed write has left a line without its end in the output.
        self._is_line_open = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def write(self, text: str) -> None:
        """Queue one or more complete lines, or count them as dropped if the queue is full."""
        lines = text.removesuffix("\n").split("\n")
        if len(self._lines) >= MAX_WAITING_LINES:
            # The section's lock is held for the addition only.
            self._section.count("lines_dropped", len(lines))
        else:
            self._lines.extend(lines)

    def flush(self) -> None:
        """Do nothing; the thread writes the lines."""

    def finish(self, *, timeout_s: float) -> bool:
        """Wait until all queued lines are written; to be called before the process ends.

        Args:
            timeout_s: Longest wait in seconds; without it, a stream that blocks would keep the
                process from ending.

        Returns:
            Whether no line waits any more: each was written, or dropped and counted.
        """
        deadline = time.monotonic() + timeout_s
        while self._lines or self._is_writing:
            if time.monotonic() > deadline:
                return False
            time.sleep(FINISH_POLL_INTERVAL_S)
        return True

    def _run(self) -> None:
        while True:
            time.sleep(WRITE_INTERVAL_S)
            self._is_writing = True
            self._write_waiting()
            self._is_writing = bool(self._rest)

    def _write_waiting(self) -> None:
        """Write pieces of whole lines until no line waits or the output is full."""
        while self._rest or self._lines:
            if not self._rest:
                self._begin_piece()
            try:
                taken = self._output.write(self._rest) or 0
            except (OSError, ValueError):
                # The stream is closed or its reader has ended, so the error cannot be logged.
                self._drop_piece()
                continue
            if not taken:
                return
            self._is_line_open = self._rest[taken - 1 : taken] != b"\n"
            self._rest = self._rest[taken:]
            if len(self._rest) <= self._own_bytes:
                self._reported = self._reported_with_piece

    def _begin_piece(self) -> None:
        dropped = self._section.get("lines_dropped", 0)
        head = b"\n" if self._is_line_open else b""
        if dropped > self._reported:
            head += b"event='lines_dropped' count=%d\n" % (dropped - self._reported)
        self._reported_with_piece = dropped
        room = MAX_WRITE_BYTES - len(head)
        lines = [_encode(self._lines.popleft(), limit=room)]
        room -= len(lines[0])
        while self._lines:
            line = _encode(self._lines[0], limit=MAX_WRITE_BYTES)
            if len(line) > room:
                break
            self._lines.popleft()
            lines.append(line)
            room -= len(line)
        own = b"".join(lines)
        self._rest = head + own
        self._own_bytes = len(own)

    def _drop_piece(self) -> None:
        lines = self._rest[-self._own_bytes :].count(b"\n")
        self._section.count("lines_dropped", lines)
        self._rest = b""


class _TextOutput:
    """A text stream that has no layer for bytes, such as ``io.StringIO``."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def write(self, data: bytes, /) -> int:
        text = data.decode()
        taken = self._stream.write(text)
        self._stream.flush()
        return len(text[:taken].encode())


def _unbuffered(stream: TextIO) -> Output:
    binary = getattr(stream, "buffer", None)
    if binary is None:
        return _TextOutput(stream)
    output: Output = getattr(binary, "raw", binary)
    return output


def _encode(line: str, *, limit: int) -> bytes:
    """Return the line and its end in UTF-8, cut between characters to a number of bytes."""
    data = line.encode(errors="backslashreplace") + b"\n"
    if len(data) <= limit:
        return data
    shown = data[: limit - len(CUT_MARK)].decode(errors="ignore")
    return shown.encode() + CUT_MARK


def configure_logs(*, process: str, level: str = "info", file: Any = None) -> None:
    """Write log events to a stream as key=value lines.

    Args:
        process: Name of the process, added to every line.
        level: Lowest level shown, a level name of the ``logging`` module in lower case.
        file: Stream to which the lines are written; standard error by default.
    """
    file = file or sys.stderr
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.KeyValueRenderer(
                key_order=["time", "level", "event"], drop_missing=True
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        # Unlike ``PrintLogger``, it writes a line and its end with one call.
        logger_factory=structlog.WriteLoggerFactory(file=file),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.clear_contextvars()
    # Context variables differ by thread, so a processor adds the name to the lines of all threads.
    config = structlog.get_config()
    config["processors"].insert(0, _add_process(process))
    # Waitress reports a full queue through the standard ``logging`` module, whose output goes to
    # the same stream.
    logging.basicConfig(level=logging.ERROR, stream=file, format="event=%(message)r")


def get_logger() -> Any:
    """Return the logger for events of this process."""
    return structlog.get_logger()


def _add_process(process: str) -> Any:
    def add(_logger: Any, _method: str, event: dict[str, Any]) -> dict[str, Any]:
        event["process"] = process
        return event

    return add
