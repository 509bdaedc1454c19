"""Values of the configuration register, and the changes that produce them."""

from hashlib import blake2b
from typing import NamedTuple

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure

MAX_CHANGES = 200


class Ballot(NamedTuple):
    """Number of a round; unique, since a proposer is one incarnation of one process.

    Args:
        number: Counter; a round with a higher number overrides a lower one.
        proposer: Process name and incarnation.
    """

    number: int = 0
    proposer: str = ""


class Change(NamedTuple):
    """Record of a change that took effect.

    Args:
        id: Identity that the operator chose for the change.
        version: Version that the change produced.
        code: Result code sent to the operator.
        digest: Checksum of the proposal, hex.
        operator: Name of the operator.
        at_ms: Wall-clock time of the proposal, ms since 1970; for display only.
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
        version: Number of the version; the first document has version 1.
        document: The document as JSON; opaque to the register.
        changes: Records of the last ``MAX_CHANGES`` changes, oldest first.
        register: Register that accepted it. A register formed after the loss of every disk may
            reuse version numbers of the previous one; the identity tells the values apart.
    """

    version: int
    document: str
    changes: tuple[Change, ...] = ()
    register: str = ""

    def renumber_above(self, known: "Value | None") -> "Value":
        """Return this value, renumbered if an earlier register already used its version.

        Args:
            known: Value in force in this process; may belong to an earlier register.
        """
        if known is None or known.version < self.version or known.register == self.register:
            return self
        return self._replace(version=known.version + 1)

    def change(self, change_id: str) -> Change | None:
        """Return the record of a change, or None when it is not among the last ones."""
        return next((change for change in self.changes if change.id == change_id), None)


class Proposal(NamedTuple):
    """A change that an operator requests.

    Args:
        id: Identity chosen by the operator; a resend has the same one.
        base_version: Version that the change was made from.
        document: The whole new document as JSON.
        operator: Name of the operator.
        at_ms: Wall-clock time, ms since 1970.
        base_register: Register of the base version; empty to skip the check. After the loss of
            every disk the same version number may belong to another document.
    """

    id: str
    base_version: int
    document: str
    operator: str = ""
    at_ms: int = 0
    base_register: str = ""

    @property
    def digest(self) -> str:
        """Checksum that distinguishes a resend from another change with the same id."""
        text = f"{self.base_register}\0{self.base_version}\0{self.document}"
        return blake2b(text.encode(), digest_size=16).hexdigest()

    def apply(self, base: Value) -> Value:
        """Return the value after the change, or the base itself if the change has no effect."""
        is_stale = self.base_register not in ("", base.register)
        if is_stale or base.version != self.base_version or base.change(self.id) is not None:
            return base
        version = base.version + 1
        code = int(ResultCode.APPLIED)
        record = Change(self.id, version, code, self.digest, self.operator, self.at_ms)
        changes = (*base.changes, record)[-MAX_CHANGES:]
        return Value(version, self.document, changes, base.register)

    def outcome(self, chosen: Value) -> Change | Failure:
        """Return the outcome of the change, given a value that a majority accepted."""
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
