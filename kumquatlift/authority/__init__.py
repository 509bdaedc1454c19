"""Replicated table of jobs, upstreams and configuration, and the leader that schedules tasks."""

from kumquatlift.authority._api import Operation, Reply, Request
from kumquatlift.authority._authority import Authority
from kumquatlift.authority._client import LeaderClient, authority_handler
from kumquatlift.authority._commands import (
    MAX_START_AHEAD_MS,
    EndReason,
    TaskEnd,
    TaskKey,
    UpstreamState,
)
from kumquatlift.authority._leader import Limits
from kumquatlift.authority._orders import (
    OrderAnswer,
    OrderResult,
    PollAnswer,
    PollOrder,
    RunningTask,
    StartOrder,
    StopOrder,
    UpstreamGateway,
    UpstreamRef,
)
from kumquatlift.authority._serving import Queue, ServingConfig
from kumquatlift.authority._work import (
    CALLER_STATES,
    MAX_REPEATED_TASKS,
    RESULT_STATES,
    JobSpec,
    Step,
)

__all__ = [
    "CALLER_STATES",
    "MAX_REPEATED_TASKS",
    "MAX_START_AHEAD_MS",
    "RESULT_STATES",
    "Authority",
    "EndReason",
    "JobSpec",
    "LeaderClient",
    "Limits",
    "Operation",
    "OrderAnswer",
    "OrderResult",
    "PollAnswer",
    "PollOrder",
    "Queue",
    "Reply",
    "Request",
    "RunningTask",
    "ServingConfig",
    "StartOrder",
    "Step",
    "StopOrder",
    "TaskEnd",
    "TaskKey",
    "UpstreamGateway",
    "UpstreamRef",
    "UpstreamState",
    "authority_handler",
]
