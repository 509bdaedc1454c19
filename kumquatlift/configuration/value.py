"""The value of the configuration register, and the change of it."""

from hashlib import blake2b
from typing import NamedTuple

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure

MAX_CHANGES = 200


class Ballot(NamedTuple):
    """Number of a round; unique because a proposer is one run of one process.

    Args:
        number: Counter; a round with a higher number overrides a lower one.
        proposer: Process name and incarnation.
    """

    number: int = 0
    proposer: str = ""


class Change(NamedTuple):
    """Record of a change that took effect.

    Args:
        id: Operator's identity of the change.
        version: Version that the change produced.
        code: Result code that the operator got.
        digest: Checksum of the proposal, hex.
        operator: Name of the operator.
        at_ms: Wall-clock time of the proposal, ms since 1970; shown only, never compared.
    """

    id: str
    version: int
    code: int
    digest: str
    operator: str
    at_ms: int


class Value(NamedTuple):
    """A version of the configuration.

    Args:
        version: Counts changes; 1 is the first document.
        document: The document as JSON; opaque to the register.
        changes: Records of the last ``MAX_CHANGES`` changes, oldest first.
        register: Register that accepted it. A register formed after the loss of every disk may
            repeat version numbers of the former one; this tells them apart.
    """

    version: int
    document: str
    changes: tuple[Change, ...] = ()
    register: str = ""

    def renumber_above(self, known: "Value | None") -> "Value":
        """Return this value, renumbered when a former register used its version already.

        Args:
            known: Value in force in the process that asks; may stem from a former register.
        """
        if known is None or known.version < self.version or known.register == self.register:
            return self
        return self._replace(version=known.version + 1)

    def change(self, change_id: str) -> Change | None:
        """Return the record of a change, when it is among the last ones."""
        return next((change for change in self.changes if change.id == change_id), None)


class Proposal(NamedTuple):
    """A change as an operator asks for it.

    Args:
        id: Identity chosen by the operator; a resend carries the same one.
        base_version: Version that the change was made from.
        document: The whole new document as JSON.
        operator: Name of the operator.
        at_ms: Wall-clock time, ms since 1970.
        base_register: Register of the base version; empty to leave it unchecked. After the loss
            of every disk the same version number may stand for another document.
    """

    id: str
    base_version: int
    document: str
    operator: str = ""
    at_ms: int = 0
    base_register: str = ""

    @property
    def digest(self) -> str:
        """Checksum by which a resend is told from another change with the same id."""
        text = f"{self.base_register}\0{self.base_version}\0{self.document}"
        return blake2b(text.encode(), digest_size=16).hexdigest()

    def apply(self, base: Value) -> Value:
        """Return the value after the change; the base itself when it does not take effect."""
        is_stale = self.base_register not in ("", base.register)
        if is_stale or base.version != self.base_version or base.change(self.id) is not None:
            return base
        version = base.version + 1
        code = int(ResultCode.APPLIED)
        record = Change(self.id, version, code, self.digest, self.operator, self.at_ms)
        changes = (*base.changes, record)[-MAX_CHANGES:]
        return Value(version, self.document, changes, base.register)

    def outcome(self, chosen: Value) -> Change | Failure:
        """Tell from a value that a majority accepted what became of the change."""
        record = chosen.change(self.id)
        if record is None and self.base_version > chosen.version and not self.base_register:
            return Failure(
                ResultCode.MALFORMED,
                f"made from version {self.base_version}, which is not known; the newest version "
                f"is {chosen.version}",
            )
        if record is None:
            return Failure(
                ResultCode.VERSION_CONFLICT,
                f"made from version {self.base_version}, but version {chosen.version} is in force",
            )
        if record.digest != self.digest:
            return Failure(
                ResultCode.CHANGE_ID_REUSED, f"change id {self.id!r} belongs to another change"
            )
        return record
