"""Tells what is wrong with a peer from what is known of it."""

from enum import Enum
from typing import NamedTuple

from kumquatlift.membership._heartbeat_age import LIVENESS_TIMEOUT_S

# An older failure of a call or of a connection says nothing about now.
RECENT_S = 10.0


class ConnectOutcome(Enum):
    """How the last attempt to connect to a peer ended."""

    NONE = "none"
    ANSWERED = "answered"
    REFUSED = "refused"
    NO_ANSWER = "no-answer"
    """The connection was accepted, but the peer did not answer on it."""
    TIMED_OUT = "timed-out"


class Diagnosis(Enum):
    """State of a peer as this process sees it."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT_CONNECTION = "silent-connection"
    FROZEN = "frozen"
    DEAD = "dead"
    CUT_OFF = "cut-off"

    @property
    def help(self) -> str:
        """What the diagnosis rests on, in one line for operators."""
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
    """What is known of a peer.

    Args:
        heartbeat_age_s: Age of the newest heartbeat; None when none was ever heard.
        connect: How the last attempt to connect ended.
        connect_age_s: Age of that end; None when there was no attempt.
        call_timed_out_age_s: Age of the last call that was sent and not answered; None when all
            were answered.
        answered_age_s: Age of the last bytes heard on a connection; None when there were none.
        is_leaving: Whether it announced that it leaves.
        others_live: Other members of its zone with recent heartbeats.
        others_silent: Other members of its zone without recent heartbeats.
    """

    heartbeat_age_s: float | None = None
    connect: ConnectOutcome = ConnectOutcome.NONE
    connect_age_s: float | None = None
    call_timed_out_age_s: float | None = None
    answered_age_s: float | None = None
    is_leaving: bool = False
    others_live: int = 0
    others_silent: int = 0


def diagnose(evidence: Evidence) -> Diagnosis:
    """Classify a peer.

    Heartbeats come first: while they arrive the process runs, and a call without an answer or a
    failed connection concerns the connection. Without heartbeats, the last attempt to connect tells
    a stopped process (accepted, not answered) from a dead one (refused). A silent machine is cut
    off when the others of its zone are silent, too.
    """
    if _is_within(evidence.heartbeat_age_s, LIVENESS_TIMEOUT_S):
        if evidence.is_leaving:
            return Diagnosis.LEAVING
        return Diagnosis.SILENT_CONNECTION if _is_unanswered(evidence) else Diagnosis.LIVE
    if _is_within(evidence.connect_age_s, RECENT_S):
        if evidence.connect is ConnectOutcome.NO_ANSWER:
            return Diagnosis.FROZEN
        if evidence.connect is ConnectOutcome.REFUSED:
            return Diagnosis.DEAD
    is_zone_silent = evidence.others_silent > 0 and evidence.others_live == 0
    return Diagnosis.CUT_OFF if is_zone_silent else Diagnosis.DEAD


def _is_unanswered(evidence: Evidence) -> bool:
    """Tell whether a connection failed lately, and nothing was heard on one since."""
    failures = [evidence.call_timed_out_age_s]
    if evidence.connect not in (ConnectOutcome.NONE, ConnectOutcome.ANSWERED):
        failures.append(evidence.connect_age_s)
    recent = [age for age in failures if age is not None and age < RECENT_S]
    heard = evidence.answered_age_s
    return bool(recent) and (heard is None or heard >= min(recent))


def _is_within(age_s: float | None, limit_s: float) -> bool:
    return age_s is not None and age_s < limit_s
