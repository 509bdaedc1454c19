"""Structured logs: one line of key=value pairs for each event."""

import logging
import sys
import threading
import time
from collections import deque
from typing import Any, TextIO

import structlog

# Lines queued while the stream is slow; further lines are dropped and counted.
MAX_WAITING_LINES = 5000
# Queued lines are written together at this interval, since each write is a system call.
WRITE_INTERVAL_S = 0.1
FINISH_POLL_INTERVAL_S = 0.01


class LineWriter:
    """File-like object that never blocks its callers; a separate thread writes the lines.

    The thread is a daemon thread, not one of an executor: the executor would have to be shut down
    after every other executor, since their threads log until they end.

    Args:
        stream: Stream to which the lines are written.
    """

    def __init__(self, *, stream: TextIO) -> None:
        self._stream = stream
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._is_writing = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def write(self, text: str) -> None:
        """Queue a text, or count it as dropped if the queue is full."""
        if len(self._lines) >= MAX_WAITING_LINES:
            self._dropped += 1
        else:
            self._lines.append(text)

    def flush(self) -> None:
        """Do nothing; the thread writes the lines."""

    def finish(self, *, timeout_s: float) -> bool:
        """Wait until all queued lines are written; to be called before the process ends.

        Args:
            timeout_s: Longest wait in seconds; without it, a stream that blocks would keep the
                process from ending.

        Returns:
            Whether all lines were written in time.
        """
        deadline = time.monotonic() + timeout_s
        while self._lines or self._is_writing:
            if time.monotonic() > deadline:
                return False
            time.sleep(FINISH_POLL_INTERVAL_S)
        return True

    def _write_waiting(self) -> None:
        parts: list[str] = []
        while self._lines:
            parts.append(self._lines.popleft())
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            parts.append(f"event='lines_dropped' count={dropped}\n")
        if parts:
            self._stream.write("".join(parts))
            self._stream.flush()

    def _run(self) -> None:
        while True:
            time.sleep(WRITE_INTERVAL_S)
            self._is_writing = True
            try:
                self._write_waiting()
            except (OSError, ValueError):
                # The stream is closed or its reader has ended, so the error cannot be logged.
                self._lines.clear()
            self._is_writing = False


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
        logger_factory=structlog.PrintLoggerFactory(file=file),
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
