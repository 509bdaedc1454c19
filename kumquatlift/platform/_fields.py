"""Checked readers for the values of the platform's JSON messages.

Each reader returns a value that the product can hold, store and send, or raises ``WireError`` with
the name of the field.
"""

import ipaddress
import json
import math
import re
import sys
from typing import Any

from kumquatlift.authority import TaskKey

# Integers up to this are exact in every JSON implementation.
MAX_INTEGER = 2**53 - 1
# Levels of objects and lists. The protocol's messages have at most five.
MAX_DEPTH = 32
# Characters of names: identities, services, zones, labels, hosts.
MAX_NAME = 256
MAX_LABELS = 64
# Longest prefix of request paths.
MAX_PATH = 2048
# Thousandths of a core, megabytes or accelerators of an upstream or a task: more than any has.
MAX_AMOUNT = 10**9
# Longest duration, in milliseconds: about 30 years.
MAX_DURATION_MS = 10**12
# Bound of counts and factors in a configuration.
MAX_FACTOR = 10**6
# Longest checkpoint, which is stored with its task and sent with each start.
MAX_CHECKPOINT = 4096
# Identities of upstreams are sent in an HTTP header.
_UPSTREAM_ID = re.compile(r"[!-~]{1,128}")
_PORT = re.compile(r"[1-9][0-9]{0,4}")
_TASK = re.compile(r"([0-9a-z]{1,64})\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})", re.ASCII)
_TEXT_OR_BRACKET = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


class WireError(ValueError):
    """A message doesn't follow the platform's published protocol."""


def decode_object(body: bytes | str) -> dict[str, Any]:
    """Decode the JSON object of a request.

    Raises:
        WireError: The body is not a JSON object, or it is nested too deeply.
    """
    try:
        fields = json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as exc:
        raise WireError(f"not JSON: {str(exc)[:200]}") from exc
    if not isinstance(fields, dict):
        raise WireError("an object is needed")
    if _depth_exceeds(fields, MAX_DEPTH):
        raise WireError(f"not JSON of at most {MAX_DEPTH} levels")
    return fields


def _refuse_constant(text: str) -> None:
    raise WireError(f"{text} is no JSON")


def _depth_exceeds(value: Any, levels: int) -> bool:
    level = [value]
    for _ in range(levels):
        level = [
            child
            for each in level
            for child in (each.values() if isinstance(each, dict) else each)
            if isinstance(child, dict | list)
        ]
        if not level:
            return False
    return True


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
            raise WireError(f"not JSON: {str(exc)[:200]}") from exc
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


def is_finite_number(value: Any) -> bool:
    """Return whether a value is a number that a double can hold."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and abs(value) <= sys.float_info.max


def number(value: Any, name: str, *, most: float = MAX_FACTOR) -> float:
    """Return a finite number from 0.

    Raises:
        WireError: The value is no number, or outside the bounds.
    """
    if not is_finite_number(value) or not 0 <= value <= most:
        raise WireError(f"{name}: a number from 0 to {most} is needed")
    return float(value)


def amount(value: Any, name: str, *, most: int = MAX_AMOUNT) -> int:
    """Return a number from 0 without its fraction.

    Raises:
        WireError: The value is no number, or outside the bounds.
    """
    return int(number(value, name, most=most))


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


def upstream_identity(value: Any) -> str:
    """Return the identity of an upstream.

    Raises:
        WireError: The value is not of 1 to 128 printable ASCII characters other than the space.
    """
    if not isinstance(value, str) or not _UPSTREAM_ID.fullmatch(value):
        raise WireError("id: 1 to 128 printable ASCII characters are needed")
    return value


def address(value: Any, name: str) -> str:
    """Return an address of the form "ip:port".

    Raises:
        WireError: The value has no IPv4 address or no port from 1 to 65535.
    """
    host, _, port = text(value, name).rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise WireError(f"{name}: an IPv4 address and a port are needed") from None
    if not _PORT.fullmatch(port) or int(port) > 65535:
        raise WireError(f"{name}: a port from 1 to 65535 is needed")
    return f"{host}:{port}"


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
