"""Diagnosis of a peer's state from its heartbeats and connections."""

from enum import Enum
from typing import NamedTuple

from kumquatlift.membership._heartbeat_age import LIVENESS_TIMEOUT_S

# Failures of calls and connections that are older are ignored.
RECENT_S = 10.0


class ConnectOutcome(Enum):
    """How the last attempt to connect to a peer ended."""

    NONE = "none"
    ANSWERED = "answered"
    REFUSED = "refused"
    NO_ANSWER = "no-answer"
    """The connection was accepted, but the peer sent no hello on it."""
    TIMED_OUT = "timed-out"


class Diagnosis(Enum):
    """State of a peer as seen by this process."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT_CONNECTION = "silent-connection"
    FROZEN = "frozen"
    DEAD = "dead"
    CUT_OFF = "cut-off"

    @property
    def help(self) -> str:
        """The observations behind the diagnosis, in one line for operators."""
        return _HELP[self]


_HELP = {
    Diagnosis.LIVE: "heartbeats arrive and no call failed lately",
    Diagnosis.LEAVING: "it announced that it leaves; it gets no new work",
    Diagnosis.SILENT_CONNECTION: "heartbeats arrive but a call had no answer; a new connection is "
    "tried",
    Diagnosis.FROZEN: "its machine accepts connections but the process answers nothing",
    Diagnosis.DEAD: "no heartbeat; its machine refuses connections or only it is unreachable",
    Diagnosis.CUT_OFF: "no heartbeat; connections time out, also to others of its zone",
}


class Evidence(NamedTuple):
    """Observations of a peer; ages are in seconds.

    Args:
        heartbeat_age_s: Age of the newest heartbeat; None when none was ever received.
        connect: How the last attempt to connect ended.
        connect_age_s: Time since that attempt ended; None when there was no attempt.
        call_timed_out_age_s: Time since a written call last timed out; None when none did.
        last_contact_age_s: Age of the last bytes received on a connection; None when there were
            none.
        is_leaving: Whether the peer announced a graceful shutdown.
        others_live: Number of other members of its zone with recent heartbeats.
        others_unreachable: Number of other members of its zone without recent heartbeats.
    """

    heartbeat_age_s: float | None = None
    connect: ConnectOutcome = ConnectOutcome.NONE
    connect_age_s: float | None = None
    call_timed_out_age_s: float | None = None
    last_contact_age_s: float | None = None
    is_leaving: bool = False
    others_live: int = 0
    others_unreachable: int = 0


def diagnose(evidence: Evidence) -> Diagnosis:
    """Classify a peer.

    While heartbeats arrive, the process runs, so a call that timed out or a failed attempt to
    connect indicates a problem of the connection. Without heartbeats, a recent attempt to connect
    distinguishes a frozen process (connection accepted, no hello) from a dead one (connection
    refused). Otherwise the peer is cut off when its zone has other members and none of them sends
    heartbeats either, else dead.
    """
    if _is_within(evidence.heartbeat_age_s, LIVENESS_TIMEOUT_S):
        if evidence.is_leaving:
            return Diagnosis.LEAVING
        return Diagnosis.SILENT_CONNECTION if _has_connection_failed(evidence) else Diagnosis.LIVE
    if _is_within(evidence.connect_age_s, RECENT_S):
        if evidence.connect is ConnectOutcome.NO_ANSWER:
            return Diagnosis.FROZEN
        if evidence.connect is ConnectOutcome.REFUSED:
            return Diagnosis.DEAD
    is_zone_unreachable = evidence.others_unreachable > 0 and evidence.others_live == 0
    return Diagnosis.CUT_OFF if is_zone_unreachable else Diagnosis.DEAD


def _has_connection_failed(evidence: Evidence) -> bool:
    """Tell whether a call or connection failed recently, with nothing received since."""
    failures = [evidence.call_timed_out_age_s]
    if evidence.connect not in (ConnectOutcome.NONE, ConnectOutcome.ANSWERED):
        failures.append(evidence.connect_age_s)
    recent = [age for age in failures if age is not None and age < RECENT_S]
    contact_age_s = evidence.last_contact_age_s
    return bool(recent) and (contact_age_s is None or contact_age_s >= min(recent))


def _is_within(age_s: float | None, limit_s: float) -> bool:
    return age_s is not None and age_s < limit_s
