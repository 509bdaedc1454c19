"""Job and ledger identities: the text forms that callers and entry processes exchange."""

import re
import secrets
from typing import NamedTuple

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure

MAX_KEY_CHARS = 64
MAX_NAME_CHARS = 40
NAME_PATTERN = rf"[a-z0-9](?:[a-z0-9-]{{0,{MAX_NAME_CHARS - 1}}})"
_NAME = re.compile(NAME_PATTERN)
_KEY = re.compile(rf"[A-Za-z0-9_-]{{1,{MAX_KEY_CHARS}}}")
_INCARNATION = re.compile(r"[0-9a-f]{12}")


class LedgerId(NamedTuple):
    """Identity of a ledger of claims; it names the processes that store the ledger.

    Args:
        writer: Name of the entry process that writes the ledger.
        incarnation: Random identity of that process's incarnation, 12 hex digits.
        number: Sequence number of the ledger within the incarnation.
        backup: Name of the entry process that holds the replica; empty when there is none.
    """

    writer: str
    incarnation: str
    number: int
    backup: str

    def __str__(self) -> str:
        return f"{self.writer}~{self.incarnation}-{self.number}~{self.backup}"

    @classmethod
    def parse(cls, text: str) -> "LedgerId | Failure":
        """Read the text form.

        Returns:
            The identity, or a ``BAD_JOB_ID`` failure.
        """
        parts = text.split("~")
        if len(parts) != 3:
            return _bad_id(text)
        writer, middle, backup = parts
        incarnation, _, number = middle.partition("-")
        if not _NAME.fullmatch(writer) or not _INCARNATION.fullmatch(incarnation):
            return _bad_id(text)
        if not re.fullmatch(r"[0-9]{1,9}", number) or (backup and not _NAME.fullmatch(backup)):
            return _bad_id(text)
        return cls(writer, incarnation, int(number), backup)


class JobId(NamedTuple):
    """Identity of a job: the ledger in which it is claimed and the caller's own key."""

    ledger: LedgerId
    key: str

    def __str__(self) -> str:
        return f"{self.ledger}.{self.key}"

    @classmethod
    def parse(cls, text: str) -> "JobId | Failure":
        """Read the text form ``<ledger>.<key>``.

        Returns:
            The identity, or a ``BAD_JOB_ID`` failure.
        """
        head, dot, key = text.rpartition(".")
        if not dot or not _KEY.fullmatch(key):
            return _bad_id(text)
        ledger = LedgerId.parse(head)
        return ledger if isinstance(ledger, Failure) else cls(ledger, key)

    @classmethod
    def generate(cls, ledger: LedgerId) -> "JobId":
        """Make an id with a random key in a ledger."""
        return cls(ledger, secrets.token_hex(12))


def new_incarnation() -> str:
    """Return a random identity for an incarnation of a process, 12 hex digits."""
    return secrets.token_hex(6)


def is_name(text: str) -> bool:
    """Return whether a text is a valid name of a process, zone, service, kind or team."""
    return bool(_NAME.fullmatch(text))


def _bad_id(text: str) -> Failure:
    return Failure(ResultCode.BAD_JOB_ID, f"not a job id of the form ledger.key: {text[:120]!r}")
