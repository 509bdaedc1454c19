"""HTTP application for runners' announcements."""

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.membership.members import Members
from kumquatlift.scheduling.slot_client import slot_owner_of
from kumquatlift.scheduling.slot_owner import SlotOwner
from kumquatlift.transport.channel import Channel, Topic
from kumquatlift.transport.wsgi import ApiRequest, ApiResponse, code_fields
from kumquatlift.upstreams.announcement import Announcement, AnnouncementAnswer

# Less than the timeout after which an announcer tries another entry process.
FORWARD_TIMEOUT_S = 0.5


class AnnouncementApi:
    """Accepts announcements at any entry process and forwards them to the owner of the slots.

    Args:
        members: Membership view.
        channel: Carries announcements to other entry processes.
        owner: Manages the slots that this process owns.
    """

    def __init__(self, *, members: Members, channel: Channel, owner: SlotOwner) -> None:
        self._members = members
        self._channel = channel
        self._owner = owner
        channel.handle(Topic.RUNNER_ANNOUNCE, self._handle_forwarded)

    def handle(self, req: ApiRequest) -> ApiResponse:
        """Answer one HTTP request."""
        if req.path != "/v1/announcements":
            return ApiResponse.from_failure(
                Failure(ResultCode.NOT_FOUND, f"no such path: {req.path[:100]}")
            )
        if req.method != "POST":
            return ApiResponse.from_json(405, {"reason": "only POST is allowed"})
        ann = Announcement.from_bytes(req.body)
        answer = ann if isinstance(ann, Failure) else self._announce(ann)
        if isinstance(answer, Failure):
            return ApiResponse.from_failure(answer)
        accepted = Failure(ResultCode.RUNNER_ACCEPTED, "")
        return ApiResponse.from_json(200, {**code_fields(accepted), **answer._asdict()})

    def _announce(self, ann: Announcement) -> AnnouncementAnswer | Failure:
        owner = slot_owner_of(ann.service, ann.zone, self._members)
        if owner == self._members.me.name:
            return self._owner.announce(ann)
        self._owner.release(ann)
        if owner is None:
            return Failure(ResultCode.RUNNER_REFUSED, "no live entry process", 500)
        fut = self._channel.call(
            owner, Topic.RUNNER_ANNOUNCE, ann.to_bytes(), timeout_s=FORWARD_TIMEOUT_S
        )
        reply = fut.result()
        if isinstance(reply, Failure):
            return Failure(ResultCode.RUNNER_REFUSED, f"owner {owner}: {reply.reason}", 500)
        return AnnouncementAnswer.from_bytes(reply)

    def _handle_forwarded(self, sender: str, body: bytes) -> bytes | None:
        ann = Announcement.from_bytes(body)
        if isinstance(ann, Failure):
            return None
        # A process stops granting the runner's slots before it forwards an announcement. If the
        # sender is the owner that the runner echoes, this process need not wait for its lease.
        is_released = ann.owner.rpartition("-")[0] == sender
        result = self._owner.announce(ann, is_released=is_released)
        return None if isinstance(result, Failure) else result.to_bytes()
