"""A process's view of the membership, built from heartbeats and records of the others."""

import threading
from hashlib import blake2b
from typing import Any, NamedTuple

from kumquatlift.clock import Clock
from kumquatlift.membership._heartbeat_age import COUNTS_PER_S, HeartbeatAge
from kumquatlift.membership.members import Member, MemberState
from kumquatlift.transport.peer_diagnosis import Evidence

# Dead members stay in the table for this long, for the state dump.
DEAD_MEMBER_RETENTION_S = 600.0
MAX_MEMBERS = 256
# Most heartbeats of other members in one digest, which bounds the traffic of a process.
MAX_DIGEST_HEARTBEATS = 28
# A new or changed record is sent without a request for this long, so that a lost datagram does not
# delay it by a round trip.
UNSOLICITED_S = 1.5
MAX_UNSOLICITED_RECORDS = 2
_MAX_RETIRED_KEYS = 512


class Heartbeat(NamedTuple):
    """Key of a member's record, and the newest counter received for it."""

    key: int
    counter: int


class Record(NamedTuple):
    """Record of a member, with its counter at the time of sending."""

    member: Member
    counter: int


class Digest(NamedTuple):
    """Heartbeats that a process sends: its own and those it has received.

    Args:
        sender: The sender's own heartbeat, with the full counter.
        config_version: Version of the configuration in force at the sender.
        relayed: Heartbeats of other live members, with the last eight bits of the counter. Counters
            of a live member differ by less than 3 s between processes, so eight bits (32 s) are
            enough to tell which is newer.
    """

    sender: Heartbeat
    config_version: int
    relayed: tuple[Heartbeat, ...] = ()


def key_of(member: Member) -> int:
    """Return the 24-bit key of a record: a hash of all fields but the configuration version."""
    text = "\0".join((*member[:6], member.state.value))
    return int.from_bytes(blake2b(text.encode(), digest_size=3).digest(), "little")


class _Entry:
    """Table entry of one other member."""

    def __init__(self, *, member: Member, counter: int, now: float) -> None:
        self.member = member
        self.key = key_of(member)
        self.changed_at = now
        self.heartbeat = HeartbeatAge(counter=counter, now=now)


class MembershipView:
    """A process's view of all entry processes, without input and output.

    A process starts its counter at the time of day, so the counters of one name increase over
    restarts and the record with the highest counter is the valid one. A process that receives a
    higher counter of a previous incarnation, as after its clock was set back, continues above it.

    Args:
        me: This process.
        clock: Monotonic clock.
        first_counter: First counter of this process, derived from the time of day.
    """

    def __init__(self, *, me: Member, clock: Clock, first_counter: int) -> None:
        self._clock = clock
        self._lock = threading.RLock()
        self._me = me
        self._key = key_of(me)
        self._first_counter = first_counter
        self._started_at = clock.now()
        self._entries: dict[str, _Entry] = {}
        self._names_by_key: dict[int, str] = {}
        self._retired_keys: dict[int, None] = {}
        self._changed_at = self._started_at
        self._last_live: frozenset[Member] = frozenset()

    @property
    def me(self) -> Member:
        """This process."""
        return self._me

    def set_state(self, state: MemberState) -> None:
        """Change this process's own state."""
        with self._lock:
            self._me = self._me._replace(state=state)
            self._key = key_of(self._me)
            self._changed_at = self._clock.now()

    def set_config_version(self, version: int) -> None:
        """Change the announced version of the configuration that is in force here."""
        self._me = self._me._replace(config_version=version)

    def live(self, zone: str | None = None) -> list[Member]:
        """Return the live members that serve, this process included, ordered by name.

        Args:
            zone: Availability zone; None for all.
        """
        members = [self._me, *self.reachable()]
        return sorted(
            member
            for member in members
            if member.state is MemberState.SERVING and zone in (None, member.zone)
        )

    def reachable(self) -> list[Member]:
        """Return the other members with recent heartbeats, in any state."""
        now = self._clock.now()
        with self._lock:
            return [
                entry.member for entry in self._entries.values() if entry.heartbeat.is_live(now)
            ]

    def unreachable(self) -> list[Member]:
        """Return the other members without recent heartbeats."""
        now = self._clock.now()
        with self._lock:
            return [
                entry.member for entry in self._entries.values() if not entry.heartbeat.is_live(now)
            ]

    def get(self, name: str) -> Member | None:
        """Return a member by name, live or not."""
        entry = self._entries.get(name)
        if entry is None:
            return self._me if name == self._me.name else None
        return entry.member

    def heartbeat_age_s(self, name: str) -> float | None:
        """Return the age of a member's newest heartbeat in seconds; None for an unknown member."""
        entry = self._entries.get(name)
        return None if entry is None else entry.heartbeat.age_s(self._clock.now())

    def evidence(self, name: str, contact: Evidence) -> Evidence:
        """Add the state of a member's heartbeats and zone to the evidence from its connections."""
        now = self._clock.now()
        with self._lock:
            entry = self._entries.get(name)
            if entry is None:
                return contact
            zone = entry.member.zone
            others = [
                other.heartbeat.is_live(now)
                for other in self._entries.values()
                if other is not entry and other.member.zone == zone
            ]
            # This process is not counted: that it runs does not show that its zone is reachable.
            return contact._replace(
                heartbeat_age_s=entry.heartbeat.age_s(now),
                is_leaving=entry.member.state is MemberState.LEAVING,
                others_live=sum(others),
                others_unreachable=len(others) - sum(others),
            )

    def digest(self, *, with_others: bool) -> Digest:
        """Return this process's heartbeat and, if requested, the newest ones of other members."""
        now = self._clock.now()
        with self._lock:
            me = Heartbeat(self._key, self._counter(now))
            if not with_others:
                return Digest(me, self._me.config_version)
            reported = [entry for entry in self._entries.values() if entry.heartbeat.is_live(now)]
            # Sends the newest heartbeats, as most receivers don't have them yet.
            reported = sorted(reported, key=lambda entry: entry.heartbeat.age_s(now))[
                :MAX_DIGEST_HEARTBEATS
            ]
            relayed = tuple(
                Heartbeat(entry.key, entry.heartbeat.counter & 0xFF) for entry in reported
            )
            return Digest(me, self._me.config_version, relayed)

    def merge_digest(self, digest: Digest) -> list[int]:
        """Merge the digest of another process.

        Returns:
            Keys of unknown records, to be requested from the sender.
        """
        now = self._clock.now()
        with self._lock:
            unknown = [] if self._merge_heartbeat(digest.sender, now) else [digest.sender.key]
            unknown += [beat.key for beat in digest.relayed if not self._merge_relayed(beat, now)]
            entry = self._entries.get(self._names_by_key.get(digest.sender.key, ""))
            if entry is not None and entry.member.config_version != digest.config_version:
                entry.member = entry.member._replace(config_version=digest.config_version)
            return unknown

    def records(self, keys: list[int]) -> list[Record]:
        """Return the known records among those with the given keys."""
        now = self._clock.now()
        with self._lock:
            found = [Record(self._me, self._counter(now))] if self._key in keys else []
            entries = (self._entries.get(self._names_by_key.get(key, "")) for key in keys)
            return found + [
                Record(entry.member, entry.heartbeat.counter) for entry in entries if entry
            ]

    def latest_changes(self) -> list[Record]:
        """Return the most recently changed records, at most ``MAX_UNSOLICITED_RECORDS``."""
        now = self._clock.now()
        with self._lock:
            latest_changes = [(self._changed_at, self._key)]
            latest_changes += [(entry.changed_at, entry.key) for entry in self._entries.values()]
            recent = sorted((at, key) for at, key in latest_changes if now - at < UNSOLICITED_S)
            return self.records([key for _, key in recent[-MAX_UNSOLICITED_RECORDS:]])

    def merge_records(self, records: list[Record]) -> list[int]:
        """Merge records sent by another process.

        Returns:
            Keys of records here that are newer than those given.
        """
        now = self._clock.now()
        with self._lock:
            return [
                key for record in records if (key := self._merge_record(record, now)) is not None
            ]

    def refresh(self) -> tuple[list[Member], list[Member]]:
        """Remove members that have been dead for ``DEAD_MEMBER_RETENTION_S``.

        Returns:
            The members that joined the live set since the last call, and those that left it. A
            member whose record changed is in both.
        """
        now = self._clock.now()
        with self._lock:
            for name, entry in list(self._entries.items()):
                if entry.heartbeat.age_s(now) > DEAD_MEMBER_RETENTION_S:
                    self._remove(name)
            # A new configuration version is not reported as a change of the member.
            live = frozenset(member._replace(config_version=0) for member in self.live())
            joined, left = live - self._last_live, self._last_live - live
            self._last_live = live
            return sorted(joined), sorted(left)

    def snapshot(self) -> list[dict[str, Any]]:
        """Return the membership table for the state dump."""
        now = self._clock.now()
        with self._lock:
            return [
                {
                    "name": name,
                    "zone": entry.member.zone,
                    "peers": entry.member.peers,
                    "incarnation": entry.member.incarnation,
                    "state": entry.member.state.value,
                    "config_version": entry.member.config_version,
                    "live": entry.heartbeat.is_live(now),
                    "heartbeat_age_s": round(entry.heartbeat.age_s(now), 3),
                    "last_news_s": round(now - entry.heartbeat.received_at, 3),
                }
                for name, entry in sorted(self._entries.items())
            ]

    def _counter(self, now: float) -> int:
        return self._first_counter + int((now - self._started_at) * COUNTS_PER_S)

    def _merge_heartbeat(self, beat: Heartbeat, now: float) -> bool:
        """Merge a heartbeat; return False if its record has to be requested."""
        if beat.key == self._key:
            return True
        name = self._names_by_key.get(beat.key)
        if name is None:
            return beat.key in self._retired_keys
        entry = self._entries[name]
        if beat.counter > entry.heartbeat.counter:
            entry.heartbeat.advance(beat.counter, now)
        return True

    def _merge_relayed(self, beat: Heartbeat, now: float) -> bool:
        """Merge a relayed heartbeat, which has only the last eight bits of its counter."""
        entry = self._entries.get(self._names_by_key.get(beat.key, ""))
        if entry is None:
            return self._merge_heartbeat(beat, now)
        ahead = (beat.counter - entry.heartbeat.counter) & 0xFF
        # If no heartbeat was received for over 16 s, the result may be too low but never too high;
        # the member's own next heartbeat has the full counter.
        if 0 < ahead < 0x80:
            entry.heartbeat.advance(entry.heartbeat.counter + ahead, now)
        return True

    def _merge_record(self, record: Record, now: float) -> int | None:
        """Merge a record; return the key of the record here if that is newer, else None."""
        member, counter = record
        key = key_of(member)
        entry = self._entries.get(member.name)
        if member.name == self._me.name:
            if key != self._key:
                self._first_counter += max(0, counter + 1 - self._counter(now))
        elif entry is None:
            if self._make_room(now):
                self._insert(member, counter, now)
        elif counter <= entry.heartbeat.counter:
            return None if key == entry.key else entry.key
        elif key == entry.key:
            entry.heartbeat.advance(counter, now)
        else:
            self._replace(entry, member, counter, now)
        return None

    def _insert(self, member: Member, counter: int, now: float) -> None:
        entry = _Entry(member=member, counter=counter, now=now)
        self._entries[member.name] = entry
        self._names_by_key[entry.key] = member.name
        self._retired_keys.pop(entry.key, None)

    def _replace(self, old: _Entry, member: Member, counter: int, now: float) -> None:
        self._retire(old.key)
        self._insert(member, counter, now)
        if old.member.incarnation == member.incarnation:
            old.heartbeat.advance(counter, now)
            self._entries[member.name].heartbeat = old.heartbeat

    def _make_room(self, now: float) -> bool:
        if len(self._entries) < MAX_MEMBERS:
            return True
        oldest = max(self._entries.values(), key=lambda entry: entry.heartbeat.age_s(now))
        if oldest.heartbeat.is_live(now):
            return False
        self._remove(oldest.member.name)
        return True

    def _remove(self, name: str) -> None:
        self._names_by_key.pop(self._entries.pop(name).key, None)

    def _retire(self, key: int) -> None:
        """Remember the key of a record that is no longer valid, so that it is not requested."""
        self._names_by_key.pop(key, None)
        self._retired_keys[key] = None
        if len(self._retired_keys) > _MAX_RETIRED_KEYS:
            del self._retired_keys[next(iter(self._retired_keys))]
