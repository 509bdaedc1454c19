"""Differences between two configuration documents."""

import json
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple


class Difference(NamedTuple):
    """A field whose values differ.

    Args:
        path: Dotted path of the field.
        old: Old value as JSON; None when the field was added.
        new: New value as JSON; None when the field was removed.
    """

    path: str
    old: str | None
    new: str | None


def differences(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[Difference]:
    """Return the fields that differ between two documents of plain dicts and lists, by path."""
    before, after = dict(_leaves("", old)), dict(_leaves("", new))
    paths = sorted({*before, *after})
    rows = [Difference(path, before.get(path), after.get(path)) for path in paths]
    return [row for row in rows if row.old != row.new]


def _leaves(path: str, value: Any) -> Iterator[tuple[str, str]]:
    if not isinstance(value, Mapping) or not value:
        yield path, json.dumps(value, sort_keys=True, ensure_ascii=False)
        return
    for name, inner in value.items():
        yield from _leaves(f"{path}.{name}" if path else str(name), inner)
