"""Structured logs: one line of key=value pairs for each event."""

import logging
import sys
from typing import Any

import structlog


def configure_logs(*, process: str, level: str = "info") -> None:
    """Send events to standard error as key=value lines.

    Args:
        process: Name of the process, added to every line.
        level: Lowest level shown, a name of the ``logging`` module in lower case.
    """
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
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.clear_contextvars()
    # Context variables are per thread; a bound value in every thread needs a processor.
    config = structlog.get_config()
    config["processors"].insert(0, _add_process(process))
    # Waitress reports a full queue through the standard logger; it belongs on the same stream.
    logging.basicConfig(level=logging.ERROR, stream=sys.stderr, format="event=%(message)r")


def get_logger() -> Any:
    """Return the logger for events of this process."""
    return structlog.get_logger()


def _add_process(process: str) -> Any:
    def add(_logger: Any, _method: str, event: dict[str, Any]) -> dict[str, Any]:
        event["process"] = process
        return event

    return add
