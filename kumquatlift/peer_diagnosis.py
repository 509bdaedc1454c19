"""Tells what is wrong with a peer from what is known of it."""

from enum import Enum


class ConnectOutcome(Enum):
    """How the last attempt to connect to a peer ended."""

    NONE = "none"
    ANSWERED = "answered"
    REFUSED = "refused"
    NO_ANSWER = "no-answer"
    """The connection was accepted, but the peer did not answer on it."""
    TIMED_OUT = "timed-out"
