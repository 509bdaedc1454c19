"""HTTP service for upstreams, which send heartbeats, and for operators, who configure routes."""

import time
from typing import Any
from urllib.parse import unquote

from kumquatlift.authority import LeaderClient, Operation, Reply, Request
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.log import get_logger
from kumquatlift.platform._fields import WireError, upstream_identity
from kumquatlift.platform._wire import (
    read_cold_ms,
    read_config,
    read_departing_incarnation,
    read_heartbeat,
    read_zone,
)
from kumquatlift.settings import Address
from kumquatlift.transport.wsgi import ApiRequest, ApiResponse

# Upstreams time out after one second, so the answer must be sent earlier.
ANNOUNCE_TIMEOUT_S = 0.8
# Operators try another instance after one second.
CONFIG_TIMEOUT_S = 0.9
# Up to this number of upstreams, heartbeats go to the leader directly. Each upstream then holds an
# HTTP connection to it, and an instance serves at most 1,000 connections. In a larger fleet, the
# other instances receive the heartbeats and forward them.
MAX_DIRECT_UPSTREAMS = 500
_INSTANCES = "/api/instances/"
_EVACUATIONS = "/api/evacuations/"


class Control:
    """Handles requests of upstreams and operators by forwarding them to the leader.

    Args:
        client: Sends requests to the leader.
        control_port: Port of this service, the same on all instances.
        zones: Availability zones of the settings; those of upstreams are known besides.
    """

    def __init__(
        self, *, client: LeaderClient, control_port: int, zones: tuple[str, ...] = ()
    ) -> None:
        self._client = client
        self._control_port = control_port
        self._zones = zones

    def handle(self, req: ApiRequest) -> ApiResponse:
        """Route a request by its method and path, and return the response."""
        if req.path.startswith(_INSTANCES) and req.method == "POST":
            upstream_id, _, action = req.path.removeprefix(_INSTANCES).partition("/")
            if action == "heartbeat":
                return self._heartbeat(unquote(upstream_id), req)
            if action == "deregister":
                return self._deregister(unquote(upstream_id), req)
        if req.path.startswith(_EVACUATIONS):
            zone, _, action = req.path.removeprefix(_EVACUATIONS).rpartition("/")
            if action in ("start", "stop"):
                return self._evacuate(zone, action, req)
        if (req.method, req.path) == ("POST", "/api/config/replace"):
            return self._replace_config(req)
        if (req.method, req.path) == ("GET", "/api/config/describe"):
            return self._read_config()
        return ApiResponse.from_json(404, {"reason": "there is no such call"})

    def _heartbeat(self, upstream_id: str, req: ApiRequest) -> ApiResponse:
        try:
            upstream = read_heartbeat(upstream_id, req.body, now_ms=int(time.time() * 1000))
        except WireError as exc:
            get_logger().warning("heartbeat_malformed", upstream=upstream_id, reason=str(exc))
            return ApiResponse.from_json(400, {"reason": str(exc)})
        fields: dict[str, Any] = {"upstream": list(upstream)}
        cold_ms = read_cold_ms(req.body)
        if cold_ms:
            fields["cold_ms"] = cold_ms
        request = Request(Operation.ANNOUNCE, fields)
        reply = self._client.call(request, timeout_s=ANNOUNCE_TIMEOUT_S)
        if not isinstance(reply, Reply) or reply.code is not ResultCode.ACCEPTED:
            return self._unavailable("heartbeat_not_passed_on", upstream_id, reply)
        leader = self._client.leader
        upstreams = reply.fields.get("upstreams")
        if not leader or upstreams is None or upstreams > MAX_DIRECT_UPSTREAMS:
            return ApiResponse.from_json(200, {})
        # The upstream sends its next heartbeats to ``heartbeatAddress``. Sending them to the leader
        # saves forwarding them.
        address = Address(Address.parse(leader).host, self._control_port)
        return ApiResponse.from_json(200, {"heartbeatAddress": str(address)})

    def _deregister(self, upstream_id: str, req: ApiRequest) -> ApiResponse:
        try:
            upstream_identity(upstream_id)
        except WireError as exc:
            get_logger().warning("leave_malformed", reason=str(exc))
            return ApiResponse.from_json(400, {"reason": str(exc)})
        fields: dict[str, Any] = {"upstream": upstream_id}
        born_ms = read_departing_incarnation(req.body)
        if born_ms is not None:
            fields["born_ms"] = born_ms
        request = Request(Operation.LEAVE, fields)
        reply = self._client.call(request, timeout_s=ANNOUNCE_TIMEOUT_S)
        if not isinstance(reply, Reply) or reply.code is not ResultCode.ACCEPTED:
            return self._unavailable("leave_not_passed_on", upstream_id, reply)
        return ApiResponse.from_json(200, {})

    def _replace_config(self, req: ApiRequest) -> ApiResponse:
        try:
            source = req.body.decode()
            cfg = read_config(source)
        except ValueError as exc:
            get_logger().warning("config_refused", reason=str(exc)[:300])
            return ApiResponse.from_json(400, {"reason": str(exc)[:300]})
        request = Request(Operation.REPLACE_CONFIG, {"version": cfg.version, "source": source})
        reply = self._client.call(request, timeout_s=CONFIG_TIMEOUT_S)
        is_accepted = isinstance(reply, Reply) and reply.code in (
            ResultCode.ACCEPTED,
            ResultCode.APPLIED,
        )
        if not is_accepted:
            return self._unavailable("config_not_confirmed", str(cfg.version), reply)
        get_logger().info("config_acknowledged", version=cfg.version)
        return ApiResponse.from_json(200, {})

    def _read_config(self) -> ApiResponse:
        reply = self._client.call(Request(Operation.READ_CONFIG, {}), timeout_s=CONFIG_TIMEOUT_S)
        if not isinstance(reply, Reply) or reply.code is not ResultCode.ACCEPTED:
            return self._unavailable("config_not_read", "", reply)
        if not reply.fields["version"]:
            return ApiResponse.from_json(503, {"reason": "there is no configuration yet"})
        return ApiResponse(200, reply.fields["source"].encode())

    def _evacuate(self, zone: str, action: str, req: ApiRequest) -> ApiResponse:
        if req.method != "POST":
            return ApiResponse.from_json(405, {"reason": "this call needs the method POST"})
        try:
            zone = read_zone(zone)
            if req.body:
                raise WireError("this call has no body")
        except WireError as exc:
            get_logger().warning("evacuation_refused", action=action, reason=str(exc)[:300])
            return ApiResponse.from_json(400, {"reason": str(exc)[:300]})
        is_empty = action == "start"
        reply = self._send_evacuation(zone, is_empty, req)
        if isinstance(reply, Reply) and reply.code is ResultCode.NOT_FOUND:
            get_logger().warning("evacuation_refused", action=action, reason="unknown zone")
            return ApiResponse.from_json(404, {"reason": "there is no such zone"})
        if not isinstance(reply, Reply) or reply.code is not ResultCode.ACCEPTED:
            return self._unavailable("evacuation_not_confirmed", zone, reply)
        get_logger().info("evacuation_acknowledged", zone=zone, is_empty=is_empty)
        return ApiResponse.from_json(200, {})

    def _send_evacuation(self, zone: str, is_empty: bool, req: ApiRequest) -> Reply | Failure:
        """Send an order with the number that the leader expects, which its first answer holds.

        Failure: this process is paused before it reads the order, or between two messages. The
        operator sends the order again elsewhere, and may withdraw it before this process goes on.
        So the time is limited for all messages together, and the operator must still be there.
        """
        deadline = time.monotonic() + CONFIG_TIMEOUT_S
        fields: dict[str, Any] = {"zone": zone, "is_empty": is_empty}
        fields["is_known"] = zone in self._zones
        while True:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0 or req.is_client_disconnected():
                return Failure(ResultCode.TIMED_OUT, "nobody waits for the order any more")
            reply = self._client.call(Request(Operation.EVACUATE, fields), timeout_s=remaining_s)
            if isinstance(reply, Failure) or "number" not in reply.fields:
                return reply
            fields["number"] = reply.fields["number"]

    @staticmethod
    def _unavailable(event: str, subject: str, reply: Reply | Failure) -> ApiResponse:
        get_logger().info(event, subject=subject, code=reply.code.label)
        return ApiResponse.from_json(503, {"reason": "the leader cannot be reached; ask again"})
