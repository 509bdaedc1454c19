"""A process's view of the other entry processes, from their heartbeats."""

import threading
from hashlib import blake2b
from typing import Any, NamedTuple

from kumquatlift.clock import Clock
from kumquatlift.membership._heartbeat_age import COUNTS_PER_S, HeartbeatAge
from kumquatlift.membership.members import Member, MemberState
from kumquatlift.transport.peer_diagnosis import Evidence

# Members that died are kept for the state dump.
DEAD_MEMBER_RETENTION_S = 600.0
MAX_MEMBERS = 256
# Heartbeats of other members in one digest, the newest first; this bounds the traffic of a process.
MAX_DIGEST_HEARTBEATS = 28
# A new or changed record is passed on unasked for this long, so that one lost datagram does not
# delay it by a round trip.
UNSOLICITED_S = 1.5
MAX_UNSOLICITED_RECORDS = 2
_MAX_RETIRED_KEYS = 512


class Heartbeat(NamedTuple):
    """The key of a member's record, and the newest counter heard of it."""

    key: int
    counter: int


class Record(NamedTuple):
    """A member and its counter at the time of sending."""

    member: Member
    counter: int


class Digest(NamedTuple):
    """What a process tells of the heartbeats that it knows.

    Args:
        sender: Its own, with the full counter.
        config_version: Version of the configuration in force there.
        heard: Those of live members, with the last eight bits of the counter. Live counters differ
            by less than 3 s, so eight bits (32 s) tell which is newer.
    """

    sender: Heartbeat
    config_version: int
    heard: tuple[Heartbeat, ...] = ()


def key_of(member: Member) -> int:
    """Return the 24-bit key of a record; the configuration version is no part of it."""
    text = "\0".join((*member[:6], member.state.value))
    return int.from_bytes(blake2b(text.encode(), digest_size=3).digest(), "little")


class _Entry:
    """What is known of one other member."""

    def __init__(self, *, member: Member, counter: int, now: float) -> None:
        self.member = member
        self.key = key_of(member)
        self.changed_at = now
        self.heartbeat = HeartbeatAge(counter=counter, now=now)


class MembershipView:
    """A process's view of all entry processes; pure, with the clock passed in.

    Counters of one name are ordered over restarts, because a process starts its counter at the time
    of day: the record with the highest counter is the valid one. A process that hears a higher
    counter of an earlier run of itself continues above it.

    Args:
        me: This process.
        clock: Monotonic clock.
        first_counter: Start of the counter, in counts of the time of day.
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
        """Change what this process says of itself."""
        with self._lock:
            self._me = self._me._replace(state=state)
            self._key = key_of(self._me)
            self._changed_at = self._clock.now()

    def set_config_version(self, version: int) -> None:
        """Change the version of the configuration that is in force here."""
        self._me = self._me._replace(config_version=version)

    def live(self, zone: str | None = None) -> list[Member]:
        """Return live members that serve, this process included, ordered by name."""
        members = [self._me, *self.reachable()]
        return sorted(
            member
            for member in members
            if member.state is MemberState.SERVING and zone in (None, member.zone)
        )

    def reachable(self) -> list[Member]:
        """Return the other members with recent heartbeats, whether they serve or leave."""
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
        """Return the age of a member's newest heartbeat in seconds; None for a stranger."""
        entry = self._entries.get(name)
        return None if entry is None else entry.heartbeat.age_s(self._clock.now())

    def evidence(self, name: str, contact: Evidence) -> Evidence:
        """Add what is known of a member's heartbeats and zone to what its connections tell."""
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
            # This process proves nothing about reaching its own zone, so it is not counted.
            return contact._replace(
                heartbeat_age_s=entry.heartbeat.age_s(now),
                is_leaving=entry.member.state is MemberState.LEAVING,
                others_live=sum(others),
                others_silent=len(others) - sum(others),
            )

    def digest(self, *, with_others: bool) -> Digest:
        """Return the own heartbeat and, if asked, those heard of others that are worth telling."""
        now = self._clock.now()
        with self._lock:
            me = Heartbeat(self._key, self._counter(now))
            if not with_others:
                return Digest(me, self._me.config_version)
            reported = [entry for entry in self._entries.values() if entry.heartbeat.is_live(now)]
            # The newest heartbeats are the ones that most receivers lack.
            reported = sorted(reported, key=lambda entry: entry.heartbeat.age_s(now))[
                :MAX_DIGEST_HEARTBEATS
            ]
            heard = tuple(
                Heartbeat(entry.key, entry.heartbeat.counter & 0xFF) for entry in reported
            )
            return Digest(me, self._me.config_version, heard)

    def merge(self, digest: Digest) -> list[int]:
        """Take a digest of another process.

        Returns:
            Keys whose records are not known.
        """
        now = self._clock.now()
        with self._lock:
            unknown = [] if self._merge_heartbeat(digest.sender, now) else [digest.sender.key]
            unknown += [beat.key for beat in digest.heard if not self._merge_relayed(beat, now)]
            entry = self._entries.get(self._names_by_key.get(digest.sender.key, ""))
            if entry is not None and entry.member.config_version != digest.config_version:
                entry.member = entry.member._replace(config_version=digest.config_version)
            return unknown

    def records(self, keys: list[int]) -> list[Record]:
        """Return the records with the given keys, as far as they are known."""
        now = self._clock.now()
        with self._lock:
            found = [Record(self._me, self._counter(now))] if self._key in keys else []
            entries = (self._entries.get(self._names_by_key.get(key, "")) for key in keys)
            return found + [
                Record(entry.member, entry.heartbeat.counter) for entry in entries if entry
            ]

    def latest_changes(self) -> list[Record]:
        """Return the records that changed most recently, at most ``MAX_NEWS``."""
        now = self._clock.now()
        with self._lock:
            latest_changes = [(self._changed_at, self._key)]
            latest_changes += [(entry.changed_at, entry.key) for entry in self._entries.values()]
            recent = sorted((at, key) for at, key in latest_changes if now - at < UNSOLICITED_S)
            return self.records([key for _, key in recent[-MAX_UNSOLICITED_RECORDS:]])

    def add(self, records: list[Record]) -> list[int]:
        """Take records of other processes.

        Returns:
            Keys of records known here that are newer than those given.
        """
        now = self._clock.now()
        with self._lock:
            return [key for record in records if (key := self._add(record, now)) is not None]

    def refresh(self) -> tuple[list[Member], list[Member]]:
        """Forget members that died long ago.

        Returns:
            The members that came into the set of live ones since the last call, and those that left
            it. A member that changed its record is in both.
        """
        now = self._clock.now()
        with self._lock:
            for name, entry in list(self._entries.items()):
                if entry.heartbeat.age_s(now) > DEAD_MEMBER_RETENTION_S:
                    self._remove(name)
            # The version changes often and is no matter of liveness.
            live = frozenset(member._replace(config_version=0) for member in self.live())
            joined, left = live - self._last_live, self._last_live - live
            self._last_live = live
            return sorted(joined), sorted(left)

    def snapshot(self) -> list[dict[str, Any]]:
        """Return the table for the state dump."""
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
        """Take a heartbeat; return False when its record has to be asked for."""
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
        """Take a heartbeat that was passed on, with the last eight bits of its counter."""
        entry = self._entries.get(self._names_by_key.get(beat.key, ""))
        if entry is None:
            return self._merge_heartbeat(beat, now)
        ahead = (beat.counter - entry.heartbeat.counter) & 0xFF
        # A member that was silent for over 16 s here may be placed too low, never too high; its own
        # next heartbeat has the full counter.
        if 0 < ahead < 0x80:
            entry.heartbeat.advance(entry.heartbeat.counter + ahead, now)
        return True

    def _add(self, record: Record, now: float) -> int | None:
        """Take a record; return the key of a newer one of that name, if there is one."""
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
        """Remember the key of a record that is no longer valid, so that nobody is asked for it."""
        self._names_by_key.pop(key, None)
        self._retired_keys[key] = None
        if len(self._retired_keys) > _MAX_RETIRED_KEYS:
            del self._retired_keys[next(iter(self._retired_keys))]
