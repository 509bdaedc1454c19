"""Stand-ins for the users' platform, and the product's programs as real processes on it.

The platform's names may appear only here, in ``kumquatlift.platform`` and in
``tests.users_platform``.
"""

from tools.users_platform._cluster import CONFIG, SUBMIT_TIMEOUT_S, Cluster, JobRequest, wait_until
from tools.users_platform._history import History
from tools.users_platform._http import (
    CONNECTION_LOST,
    NO_ANSWER,
    UNREADABLE,
    PersistentConnections,
    call,
    try_call,
)
from tools.users_platform._measured_upstreams import run_upstreams
from tools.users_platform._program import Program
from tools.users_platform._upstream import DRAIN_GRACE_S, StandInUpstream

__all__ = [
    "CONFIG",
    "CONNECTION_LOST",
    "DRAIN_GRACE_S",
    "NO_ANSWER",
    "SUBMIT_TIMEOUT_S",
    "UNREADABLE",
    "Cluster",
    "History",
    "JobRequest",
    "PersistentConnections",
    "Program",
    "StandInUpstream",
    "call",
    "run_upstreams",
    "try_call",
    "wait_until",
]
