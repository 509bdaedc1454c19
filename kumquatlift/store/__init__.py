"""A replicated, durable log of commands, based on the Raft consensus protocol."""

from kumquatlift.store._event_loop import EventLoop
from kumquatlift.store._journal import Journal, JournalError, open_journal
from kumquatlift.store._messages import Entry, Message
from kumquatlift.store._raft import Raft, Role, StateMachine, Timing
from kumquatlift.store._replica import Replica

__all__ = [
    "Entry",
    "EventLoop",
    "Journal",
    "JournalError",
    "Message",
    "Raft",
    "Replica",
    "Role",
    "StateMachine",
    "Timing",
    "open_journal",
]
