"""Checked readers for the values of the platform's JSON messages.

Each reader returns a value that the product can hold, store and send, or raises ``WireError`` with
the name of the field.
"""

import json
import math
import re
from typing import Any

from kumquatlift.authority import TaskKey

# Integers up to this are exact in every JSON implementation.
MAX_INTEGER = 2**53 - 1
# Levels of objects and lists. The protocol's messages have at most five.
MAX_DEPTH = 32
# Characters of names: identities, services, zones, labels, hosts.
MAX_NAME = 256
# Longest checkpoint, which is stored with its task and sent with each start.
MAX_CHECKPOINT = 4096
_TASK = re.compile(r"([0-9a-z]{1,64})\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})", re.ASCII)
_TEXT_OR_BRACKET = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


class WireError(ValueError):
    """A message doesn't follow the platform's published protocol."""


def decode_answer(body: bytes) -> dict[str, Any]:
    """Decode the JSON object of an answer so that one odd value doesn't cost the others.

    Parts that are nested too deeply become null, integers with too many digits become infinite, and
    bytes that aren't UTF-8 become lone surrogates; the readers below refuse these.

    Raises:
        WireError: The body is not a JSON object.
    """
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        try:
            text = _without_deep_parts(body.decode("utf-8", "surrogateescape"))
            fields = json.loads(text, parse_int=_parse_integer)
        except (ValueError, RecursionError) as exc:
            raise WireError(f"not JSON: {exc}") from exc
    if not isinstance(fields, dict):
        raise WireError("an object is needed")
    return fields


def _parse_integer(text: str) -> int | float:
    return int(text) if len(text) < 40 else math.inf


def _without_deep_parts(text: str) -> str:
    """Replace the parts of a JSON text below ``MAX_DEPTH`` by null."""
    parts: list[str] = []
    depth = kept = 0
    for match in _TEXT_OR_BRACKET.finditer(text):
        bracket = match.group()
        if bracket in ("[", "{"):
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts.append(text[kept : match.start()] + "null")
        elif bracket in ("]", "}"):
            if depth == MAX_DEPTH + 1:
                kept = match.end()
            depth -= 1
    return "".join(parts) + text[kept:]


def integer(value: Any, name: str, *, least: int = 0, most: int = MAX_INTEGER) -> int:
    """Return a whole number; a float such as 1200.0 is one.

    Raises:
        WireError: The value is no whole number, or outside the bounds.
    """
    is_whole = isinstance(value, int) or (isinstance(value, float) and value.is_integer())
    if isinstance(value, bool) or not is_whole or not least <= value <= most:
        raise WireError(f"{name}: a whole number from {least} to {most} is needed")
    return int(value)


def integer_or_none(value: Any) -> int | None:
    """Return a whole number from 0 to ``MAX_INTEGER``; None for anything else."""
    try:
        return integer(value, "")
    except WireError:
        return None


def text(value: Any, name: str, *, least: int = 1, most: int = MAX_NAME) -> str:
    """Return a text that can be encoded.

    Args:
        value: The value.
        name: Name of the field.
        least: Smallest number of characters.
        most: Largest number of characters.

    Raises:
        WireError: The value is no text, too short or too long, or holds a lone surrogate.
    """
    if not isinstance(value, str) or not least <= len(value) <= most:
        raise WireError(f"{name}: a text of {least} to {most} characters is needed")
    if not value.isascii() and any("\ud800" <= char <= "\udfff" for char in value):
        raise WireError(f"{name}: a text without lone surrogates is needed")
    return value


def task_key(value: Any, name: str) -> TaskKey:
    """Return the identity of a task.

    Raises:
        WireError: The value is not of the form ID.K.STEP.INDEX.
    """
    match = _TASK.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise WireError(f"{name}: a task of the form ID.K.STEP.INDEX is needed")
    job, occurrence, step, number = match.groups()
    return TaskKey(job, int(occurrence), int(step), int(number))
