"""Detect failures of instances and spread state by gossip, at a constant cost per instance.

The protocol is a variant of SWIM: each instance pings a few others in each round, asks further
instances to ping one that does not acknowledge, and suspects it before it declares it lost. Changes
travel on these messages; digests show differences, which an exchange of the full state removes.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from typing import TYPE_CHECKING

from rattangate.core.gossip import (
    ConfigVersionSeen,
    EndpointLeaving,
    Gossip,
    GossipKind,
    LeavingEndpoint,
    MemberFound,
    MemberLeaving,
    MemberLost,
    MemberRecord,
    MembershipEffect,
    MemberState,
    SendGossip,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from random import Random

DIGEST_BYTES = 8
RETRANSMITS_PER_DOUBLING = 3


@dataclass(frozen=True, slots=True)
class MembershipCfg:
    """Hold the settings of membership; times are in seconds.

    Below `full_mesh_max` other instances, each round probes all of them, otherwise `fanout` of
    them. `indirect_probes` is the number of instances asked to ping one that did not acknowledge,
    and `max_updates` bounds the updates on one message. `suspicion_timeout_s` is the time that a
    suspect has to refute, and `state_sync_interval_s` the least time between requests for a full
    state.
    """

    probe_interval_s: float = 0.5
    ack_timeout_s: float = 0.25
    suspicion_timeout_s: float = 2.0
    state_sync_interval_s: float = 5.0
    full_mesh_max: int = 12
    fanout: int = 3
    indirect_probes: int = 2
    max_updates: int = 12


@dataclass(slots=True)
class _Member:
    """Hold the record of another instance and the deadline of its pending probe or suspicion."""

    record: MemberRecord
    deadline: float = math.inf
    has_indirect_probes: bool = False


@dataclass(slots=True)
class _Broadcast:
    """Hold an update to spread and the number of its transmissions."""

    item: MemberRecord | LeavingEndpoint
    transmits: int = 0


@dataclass(slots=True)
class _IndirectProbe:
    """Hold who asked this instance to ping another, and until when the answer is of use."""

    requester: str
    deadline: float


@dataclass(slots=True)
class _BroadcastQueue:
    """Queue the updates to spread, the newest for each subject; `pending` is keyed by subject."""

    pending: dict[str, _Broadcast] = field(default_factory=dict)

    def add(self, subject: str, item: MemberRecord | LeavingEndpoint) -> None:
        self.pending[subject] = _Broadcast(item)

    def take(self, count: int, limit: int) -> list[MemberRecord | LeavingEndpoint]:
        chosen = sorted(self.pending, key=lambda subject: self.pending[subject].transmits)[:count]
        items = [self.pending[subject].item for subject in chosen]
        self.count_transmits(chosen, limit)
        return items

    def count_transmits(self, subjects: Iterable[str], limit: int) -> None:
        for subject in list(subjects):
            broadcast = self.pending[subject]
            broadcast.transmits += 1
            if broadcast.transmits >= limit:
                del self.pending[subject]


class Membership:
    """Decide which instances are alive; take messages and ticks, return effects, do no I/O.

    `own` is the record of this instance, and `marks` maps each leaving endpoint to its highest
    incarnation known to leave.
    """

    def __init__(
        self, cfg: MembershipCfg, name: str, incarnation: int, peers: Iterable[str], rng: Random
    ) -> None:
        self.cfg = cfg
        self.own = MemberRecord(name, incarnation, 0, MemberState.ALIVE, False, 0)
        self.config_version = 0
        self.marks: dict[str, int] = {}
        self._members = {
            peer: _Member(MemberRecord(peer, 0, 0, MemberState.UNKNOWN, False, 0)) for peer in peers
        }
        self._rng = rng
        self._probe_order: list[str] = []
        self._lost_probe_order: list[str] = []
        self._broadcasts = _BroadcastQueue()
        self._indirect_probes: dict[str, list[_IndirectProbe]] = {}
        self._timers: dict[str, _Member] = {}
        self._digest = _hash_member(self.own)
        self._next_probe_at = -math.inf
        self._next_state_sync_at = -math.inf

    @property
    def members(self) -> dict[str, MemberRecord]:
        """Return the newest record of every other instance."""
        return {name: member.record for name, member in self._members.items()}

    @property
    def digest(self) -> int:
        """Return a hash of the known state, equal on instances whose state is equal."""
        return self._digest

    def alive(self) -> list[str]:
        """Return the names of the other instances that are alive or suspect."""
        return [name for name, member in self._members.items() if _is_up(member.record)]

    def is_up(self, name: str) -> bool:
        """Tell whether an instance is alive or suspect."""
        return name in self._members and _is_up(self._members[name].record)

    def set_peers(self, peers: Iterable[str]) -> None:
        """Replace the set of the other instances after a change of configuration."""
        wanted = set(peers)
        for name in set(self._members) - wanted:
            self._digest ^= _hash_member(self._members.pop(name).record)
            self._timers.pop(name, None)
        for name in wanted - set(self._members):
            self._members[name] = _Member(MemberRecord(name, 0, 0, MemberState.UNKNOWN, False, 0))

    def set_config_version(self, version: int) -> None:
        """Record that a configuration version is in force at this instance."""
        self.config_version = max(self.config_version, version)
        # Every message carries its sender's version, so the change needs no broadcast of its own.
        self.own = replace(self.own, config_version=max(self.own.config_version, version))

    def leave(self) -> None:
        """Announce to the other instances that this one is shutting down."""
        self._update_own(replace(self.own, is_leaving=True))

    def mark_endpoint_leaving(self, mark: LeavingEndpoint) -> list[MembershipEffect]:
        """Record and broadcast that an endpoint is leaving, as reported to this instance."""
        return self._merge_mark(mark)

    def tick(self, now: float) -> list[MembershipEffect]:
        """Handle expired deadlines and, once per interval, probe the next targets."""
        effects: list[MembershipEffect] = []
        due = [member for member in self._timers.values() if now >= member.deadline]
        for member in due:
            effects += self._on_timeout(member, now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self.cfg.probe_interval_s
            effects += [self._probe(name, now) for name in self.choose_targets()]
        return effects

    def choose_targets(self) -> list[str]:
        """Choose the instances to probe: all in a small cluster, a random few in a large one."""
        up = [name for name, member in self._members.items() if _is_up(member.record)]
        down = [name for name, member in self._members.items() if not _is_up(member.record)]
        if len(self._members) < self.cfg.full_mesh_max:
            return up + down
        targets = self._take_round_robin(self._probe_order, up, self.cfg.fanout)
        # After a network partition heals, only probes of lost instances rediscover the other side.
        spare = self.cfg.fanout - len(targets)
        return targets + self._take_round_robin(self._lost_probe_order, down, max(1, spare))

    def receive(self, gossip: Gossip, now: float) -> list[MembershipEffect]:
        """Merge one message of another instance; ignore a sender that is not a peer."""
        name = gossip.sender.name
        if name not in self._members:
            return []
        effects = self._merge_member(gossip.sender, now)
        for record in gossip.members:
            effects += self._merge_member(record, now)
        for mark in gossip.marks:
            effects += self._merge_mark(mark)
        effects += self._confirm_alive(name, gossip.sender, now)
        effects += self._compare_digests(gossip, now)
        effects += self._reply(gossip, now)
        return effects

    def _reply(self, gossip: Gossip, now: float) -> list[MembershipEffect]:
        name = gossip.sender.name
        if gossip.kind is GossipKind.PING:
            return [self._send(name, GossipKind.ACK)]
        if gossip.kind is GossipKind.STATE_REQUEST:
            return [self._send_state(name)]
        if gossip.kind is GossipKind.PING_REQUEST and gossip.subject in self._members:
            deadline = now + self.cfg.ack_timeout_s
            self._indirect_probes.setdefault(gossip.subject, []).append(
                _IndirectProbe(name, deadline)
            )
            return [self._send(gossip.subject, GossipKind.PING)]
        if gossip.kind is GossipKind.INDIRECT_ACK and gossip.subject in self._members:
            self._clear_deadline(self._members[gossip.subject])
        return []

    def _confirm_alive(self, name: str, record: MemberRecord, now: float) -> list[MembershipEffect]:
        member = self._members[name]
        if record.incarnation < member.record.incarnation:
            return []
        self._clear_deadline(member)
        effects: list[MembershipEffect] = [
            self._send(probe.requester, GossipKind.INDIRECT_ACK, subject=name)
            for probe in self._indirect_probes.pop(name, [])
            if now < probe.deadline
        ]
        if member.record.state in (MemberState.SUSPECT, MemberState.LOST):
            # Sends the instance its own record, so that it can refute the suspicion or loss.
            effects.append(self._send(name, GossipKind.PING, members=(member.record,)))
        return effects

    def _compare_digests(self, gossip: Gossip, now: float) -> list[MembershipEffect]:
        if gossip.digest == self._digest:
            # The sender knows all updates that are queued here, so each counts as one transmission.
            self._broadcasts.count_transmits(self._broadcasts.pending, self._retransmit_limit())
            return []
        if now < self._next_state_sync_at:
            return []
        if gossip.kind not in (GossipKind.PING, GossipKind.ACK):
            return []
        self._next_state_sync_at = now + self.cfg.state_sync_interval_s
        return [self._send(gossip.sender.name, GossipKind.STATE_REQUEST)]

    def _merge_member(self, record: MemberRecord, now: float) -> list[MembershipEffect]:
        if record.name == self.own.name:
            self._refute(record)
            return []
        member = self._members.get(record.name)
        if member is None:
            return []
        effects = self._merge_config_version(record)
        known = member.record
        if record.incarnation == known.incarnation:
            record = replace(
                max(record, known, key=lambda item: item.rank),
                is_leaving=record.is_leaving or known.is_leaving,
                config_version=max(record.config_version, known.config_version),
            )
        if record == known or record.rank < known.rank:
            return effects
        self._store(member, record, now)
        return effects + _effects_of_change(known, record)

    def _store(self, member: _Member, record: MemberRecord, now: float) -> None:
        known = member.record
        member.record = record
        if record.rank != known.rank or record.is_leaving != known.is_leaving:
            self._digest ^= _hash_member(known) ^ _hash_member(record)
            self._broadcasts.add(record.name, record)
        if record.rank != known.rank:
            self._clear_deadline(member)
        if record.state is MemberState.SUSPECT and known.state is not MemberState.SUSPECT:
            self._set_deadline(member, now + self.cfg.suspicion_timeout_s)

    def _merge_mark(self, mark: LeavingEndpoint) -> list[MembershipEffect]:
        known = self.marks.get(mark.endpoint)
        if known is not None and known >= mark.incarnation:
            return []
        if known is not None:
            self._digest ^= _hash_mark(LeavingEndpoint(mark.endpoint, known))
        self.marks[mark.endpoint] = mark.incarnation
        self._digest ^= _hash_mark(mark)
        self._broadcasts.add(f"endpoint {mark.endpoint}", mark)
        return [EndpointLeaving(mark)]

    def _merge_config_version(self, record: MemberRecord) -> list[MembershipEffect]:
        if record.config_version <= self.config_version:
            return []
        self.config_version = record.config_version
        return [ConfigVersionSeen(record.config_version, record.name)]

    def _refute(self, record: MemberRecord) -> None:
        if record.incarnation != self.own.incarnation or record.refutation < self.own.refutation:
            return
        if record.state in (MemberState.SUSPECT, MemberState.LOST):
            self._update_own(replace(self.own, refutation=record.refutation + 1))

    def _update_own(self, own: MemberRecord) -> None:
        if own == self.own:
            return
        self._digest ^= _hash_member(self.own) ^ _hash_member(own)
        self.own = own
        self._broadcasts.add(own.name, own)

    def _on_timeout(self, member: _Member, now: float) -> list[MembershipEffect]:
        name = member.record.name
        if member.record.state is MemberState.SUSPECT:
            lost = replace(member.record, state=MemberState.LOST)
            return self._merge_member(lost, now)
        if not _is_up(member.record):
            self._clear_deadline(member)
            return []
        candidates = [other for other in self.alive() if other != name]
        if member.has_indirect_probes or not candidates:
            return self._merge_member(replace(member.record, state=MemberState.SUSPECT), now)
        member.has_indirect_probes = True
        # An indirect probe takes two round trips.
        self._set_deadline(member, now + 2 * self.cfg.ack_timeout_s)
        chosen = self._rng.sample(candidates, min(self.cfg.indirect_probes, len(candidates)))
        return [self._send(other, GossipKind.PING_REQUEST, subject=name) for other in chosen]

    def _probe(self, name: str, now: float) -> SendGossip:
        member = self._members[name]
        if member.deadline == math.inf and _is_up(member.record):
            self._set_deadline(member, now + self.cfg.ack_timeout_s)
        return self._send(name, GossipKind.PING)

    def _set_deadline(self, member: _Member, deadline: float) -> None:
        member.deadline = deadline
        self._timers[member.record.name] = member

    def _clear_deadline(self, member: _Member) -> None:
        if member.record.state is not MemberState.SUSPECT:
            member.deadline = math.inf
            self._timers.pop(member.record.name, None)
        member.has_indirect_probes = False

    def _take_round_robin(self, order: list[str], names: Sequence[str], count: int) -> list[str]:
        allowed = set(names)
        chosen: list[str] = []
        while len(chosen) < min(count, len(allowed)):
            if not order:
                order.extend(names)
                self._rng.shuffle(order)
            name = order.pop()
            if name in allowed and name not in chosen:
                chosen.append(name)
        return chosen

    def _send(
        self, to: str, kind: GossipKind, members: tuple[MemberRecord, ...] = (), subject: str = ""
    ) -> SendGossip:
        items = self._broadcasts.take(self.cfg.max_updates, self._retransmit_limit())
        members += tuple(item for item in items if isinstance(item, MemberRecord))
        marks = tuple(item for item in items if isinstance(item, LeavingEndpoint))
        return SendGossip(to, Gossip(kind, self.own, self._digest, members, marks, subject))

    def _send_state(self, to: str) -> SendGossip:
        members = tuple(
            member.record
            for member in self._members.values()
            if member.record.state is not MemberState.UNKNOWN
        )
        marks = tuple(LeavingEndpoint(*entry) for entry in self.marks.items())
        return SendGossip(to, Gossip(GossipKind.STATE, self.own, self._digest, members, marks))

    def _retransmit_limit(self) -> int:
        # The number of rounds until an update reaches all instances is logarithmic in their number.
        return RETRANSMITS_PER_DOUBLING * math.ceil(math.log2(len(self._members) + 2))


def _is_up(record: MemberRecord) -> bool:
    return record.state in (MemberState.ALIVE, MemberState.SUSPECT)


def _effects_of_change(known: MemberRecord, record: MemberRecord) -> list[MembershipEffect]:
    effects: list[MembershipEffect] = []
    is_new = record.incarnation > known.incarnation
    if _is_up(known) and is_new:
        effects.append(MemberLost(record.name, known.incarnation))
    if _is_up(record) and (is_new or not _is_up(known)):
        effects.append(MemberFound(record.name, record.incarnation))
    if _is_up(known) and not is_new and record.state is MemberState.LOST:
        effects.append(MemberLost(record.name, record.incarnation))
    if record.is_leaving and (is_new or not known.is_leaving):
        effects.append(MemberLeaving(record.name, record.incarnation))
    return effects


def _hash_member(record: MemberRecord) -> int:
    if record.state is MemberState.UNKNOWN:
        return 0
    is_lost = record.state is MemberState.LOST
    return _hash_text(f"{record.name} {record.incarnation} {is_lost} {record.is_leaving}")


def _hash_mark(mark: LeavingEndpoint) -> int:
    return _hash_text(f"{mark.endpoint} {mark.incarnation}")


def _hash_text(text: str) -> int:
    # Shifted to 63 bits, because the digest is a signed 64-bit integer on the wire.
    return int.from_bytes(blake2b(text.encode(), digest_size=DIGEST_BYTES).digest(), "big") >> 1
