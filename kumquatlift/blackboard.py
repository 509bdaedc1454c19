"""Shared state of one process: one section per controller, which only that controller writes."""

import threading
from collections.abc import Callable
from typing import Any

from kumquatlift.clock import Clock, MonotonicClock
from kumquatlift.histogram import Histogram


class Section:
    """One controller's part of the blackboard; only its owner writes to it.

    Args:
        owner: Name of the controller that writes the section.
        lock: Lock shared by all sections of the blackboard.
    """

    def __init__(self, *, owner: str, lock: threading.Lock) -> None:
        self.owner = owner
        self._lock = lock
        self._values: dict[str, Any] = {}
        self.histograms: list[Histogram] = []
        self._views: list[Callable[[], dict[str, Any]]] = []

    def put(self, key: str, value: Any) -> None:
        """Store a JSON-compatible value under a key."""
        with self._lock:
            self._values[key] = value

    def count(self, key: str, amount: int = 1) -> None:
        """Add to a counter; a missing counter starts at 0."""
        with self._lock:
            self._values[key] = self._values.get(key, 0) + amount

    def histogram(self, name: str, help: str) -> Histogram:
        """Return the histogram with this name, created on first use; the metrics export it."""
        with self._lock:
            for known in self.histograms:
                if known.name == name:
                    return known
            self.histograms.append(Histogram(name=name, help=help))
            return self.histograms[-1]

    def get(self, key: str, default: Any = None) -> Any:
        """Return the value stored under a key."""
        with self._lock:
            return self._values.get(key, default)

    def publish(self, view: Callable[[], dict[str, Any]]) -> None:
        """Register a function that ``snapshot`` calls to get state too large to copy on changes."""
        with self._lock:
            self._views.append(view)

    def snapshot(self) -> dict[str, Any]:
        """Return all values and the results of all views, as plain data."""
        with self._lock:
            values = dict(self._values)
            views = list(self._views)
        # A view acquires its owner's lock. It is called without the blackboard's lock, which the
        # owner acquires while it holds its own, so that the two cannot deadlock.
        for view in views:
            values.update(view())
        return values


class Blackboard:
    """The state of one process.

    Args:
        clock: Clock from which the uptime of the process is computed.
    """

    def __init__(self, *, clock: Clock | None = None) -> None:
        self._clock = clock or MonotonicClock()
        self._started_at = self._clock.now()
        self._lock = threading.Lock()
        self._sections: dict[str, Section] = {}

    def section(self, owner: str) -> Section:
        """Create the section of a controller.

        Raises:
            ValueError: The section already exists.
        """
        if owner in self._sections:
            raise ValueError(f"section {owner!r} has an owner already")
        section = Section(owner=owner, lock=self._lock)
        self._sections[owner] = section
        return section

    def histograms(self) -> list[Histogram]:
        """Return the histograms of all sections."""
        return [each for section in self._sections.values() for each in section.histograms]

    def read(self, owner: str, key: str, default: Any = None) -> Any:
        """Return a value from any section, or the default if the section or key is missing."""
        section = self._sections.get(owner)
        return default if section is None else section.get(key, default)

    def snapshot(self) -> dict[str, Any]:
        """Return the state dump: one entry per section."""
        dump: dict[str, Any] = {"uptime_s": round(self._clock.now() - self._started_at, 3)}
        for owner, section in sorted(self._sections.items()):
            dump[owner] = section.snapshot()
        return dump
