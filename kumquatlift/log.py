"""Structured logs: one line of key=value pairs for each event."""

import logging
import sys
import threading
import time
from collections import deque
from typing import Any, TextIO

import structlog

# Lines that wait for a reader that does not keep up; more are dropped and counted.
MAX_WAITING_LINES = 5000
# Waiting lines are written together this often, since each write is a system call.
WRITE_INTERVAL_S = 0.1
FINISH_POLL_INTERVAL_S = 0.01


class LineWriter:
    """File-like object that never blocks its callers; a thread of its own writes the lines.

    A plain thread serves it, since an executor would have to be shut down after the last line that
    any other executor's thread logs.

    Args:
        stream: Where the lines go.
    """

    def __init__(self, *, stream: TextIO) -> None:
        self._stream = stream
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._is_writing = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def write(self, text: str) -> None:
        """Queue a text, or count it when the queue is full."""
        if len(self._lines) >= MAX_WAITING_LINES:
            self._dropped += 1
        else:
            self._lines.append(text)

    def flush(self) -> None:
        """Do nothing; lines are written by the thread."""

    def finish(self, *, timeout_s: float) -> bool:
        """Wait until the lines are written, before the process ends.

        Returns:
            Whether they were in time; a stream that takes none must not keep the process.
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
                # Nobody reads the stream any more, so there is nowhere to report it.
                self._lines.clear()
            self._is_writing = False


def configure_logs(*, process: str, level: str = "info", file: Any = None) -> None:
    """Send events to a stream as key=value lines.

    Args:
        process: Name of the process, added to every line.
        level: Lowest level shown, a name of the ``logging`` module in lower case.
        file: Where the lines go; standard error by default.
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
    # Context variables are per thread; a bound value in every thread needs a processor.
    config = structlog.get_config()
    config["processors"].insert(0, _add_process(process))
    # Waitress reports a full queue through the standard logger; it belongs on the same stream.
    logging.basicConfig(level=logging.ERROR, stream=file, format="event=%(message)r")


def get_logger() -> Any:
    """Return the logger for events of this process."""
    return structlog.get_logger()


def _add_process(process: str) -> Any:
    def add(_logger: Any, _method: str, event: dict[str, Any]) -> dict[str, Any]:
        event["process"] = process
        return event

    return add
