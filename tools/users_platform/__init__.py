"""Stand-ins for the users' platform, and our programs as real processes on it.

With ``kumquatlift.platform`` and ``tests.users_platform``, this is the only place that knows the
platform's names.
"""

from tools.users_platform._cluster import CONFIG, Cluster, wait_until
from tools.users_platform._history import History
from tools.users_platform._http import (
    CONNECTION_LOST,
    NO_ANSWER,
    PersistentConnections,
    call,
    try_call,
)
from tools.users_platform._program import Program
from tools.users_platform._upstream import DRAIN_GRACE_S, StandInUpstream

__all__ = [
    "CONFIG",
    "CONNECTION_LOST",
    "DRAIN_GRACE_S",
    "NO_ANSWER",
    "Cluster",
    "History",
    "PersistentConnections",
    "Program",
    "StandInUpstream",
    "call",
    "try_call",
    "wait_until",
]
