"""Failure detection and news between entry instances at a constant cost for each instance."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from typing import TYPE_CHECKING

from rattangate.core.gossip import (
    ConfigVersionSeen,
    EndpointMark,
    EndpointMarked,
    Gossip,
    GossipKind,
    MemberFound,
    MemberLeaving,
    MemberLost,
    MemberNews,
    MembershipEffect,
    MemberState,
    SendGossip,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from random import Random

DIGEST_BYTES = 8
REPEATS_PER_DOUBLING = 3


@dataclass(frozen=True, slots=True)
class MembershipCfg:
    """Hold the settings of membership; times are in seconds."""

    interval_s: float = 0.5
    ack_timeout_s: float = 0.25
    suspicion_s: float = 2.0
    state_interval_s: float = 5.0
    full_mesh_max: int = 12
    fanout: int = 3
    helpers: int = 2
    max_news: int = 12


@dataclass(slots=True)
class _Member:
    news: MemberNews
    deadline: float = math.inf
    is_asked_about: bool = False


@dataclass(slots=True)
class _Rumour:
    item: MemberNews | EndpointMark
    sent: int = 0


@dataclass(slots=True)
class _Relay:
    requester: str
    deadline: float


@dataclass(slots=True)
class _Book:
    """Keep the rumours that still have to be passed on, the newest for each subject."""

    rumours: dict[str, _Rumour] = field(default_factory=dict)

    def add(self, subject: str, item: MemberNews | EndpointMark) -> None:
        self.rumours[subject] = _Rumour(item)

    def take(self, count: int, repeats: int) -> list[MemberNews | EndpointMark]:
        chosen = sorted(self.rumours, key=lambda subject: self.rumours[subject].sent)[:count]
        items = [self.rumours[subject].item for subject in chosen]
        self.count(chosen, repeats)
        return items

    def count(self, subjects: Iterable[str], repeats: int) -> None:
        for subject in list(subjects):
            rumour = self.rumours[subject]
            rumour.sent += 1
            if rumour.sent >= repeats:
                del self.rumours[subject]


class Membership:
    """Decide which instances are alive; take messages and ticks, return effects, do no I/O."""

    def __init__(
        self, cfg: MembershipCfg, name: str, incarnation: int, peers: Iterable[str], rng: Random
    ) -> None:
        self.cfg = cfg
        self.own = MemberNews(name, incarnation, 0, MemberState.ALIVE, False, 0)
        self.config_version = 0
        self.marks: dict[str, int] = {}
        self._members = {
            peer: _Member(MemberNews(peer, 0, 0, MemberState.UNKNOWN, False, 0)) for peer in peers
        }
        self._rng = rng
        self._round: list[str] = []
        self._lost_round: list[str] = []
        self._book = _Book()
        self._relays: dict[str, list[_Relay]] = {}
        self._awaited: dict[str, _Member] = {}
        self._digest = _hash_member(self.own)
        self._next_round_at = -math.inf
        self._next_state_at = -math.inf

    @property
    def members(self) -> dict[str, MemberNews]:
        """Return the newest news of every other instance."""
        return {name: member.news for name, member in self._members.items()}

    @property
    def digest(self) -> int:
        """Return a sum over all that is known, equal on instances that know the same."""
        return self._digest

    def alive(self) -> list[str]:
        """Return the names of the other instances that are not lost."""
        return [name for name, member in self._members.items() if _is_up(member.news)]

    def is_up(self, name: str) -> bool:
        """Tell whether an instance is held to be alive."""
        return name in self._members and _is_up(self._members[name].news)

    def set_peers(self, peers: Iterable[str]) -> None:
        """Take over the names of the other instances from a changed configuration."""
        wanted = set(peers)
        for name in set(self._members) - wanted:
            self._digest ^= _hash_member(self._members.pop(name).news)
            self._awaited.pop(name, None)
        for name in wanted - set(self._members):
            self._members[name] = _Member(MemberNews(name, 0, 0, MemberState.UNKNOWN, False, 0))

    def set_config_version(self, version: int) -> None:
        """Tell that a configuration version is in force here."""
        self.config_version = max(self.config_version, version)
        # Every message carries the version of its sender: no rumour is needed.
        self.own = replace(self.own, config_version=max(self.own.config_version, version))

    def leave(self) -> None:
        """Tell the others that this instance is shutting down."""
        self._change_own(replace(self.own, is_leaving=True))

    def mark_endpoint(self, mark: EndpointMark) -> list[MembershipEffect]:
        """Take in a leaving mark from a source on this instance."""
        return self._take_mark(mark)

    def tick(self, now: float) -> list[MembershipEffect]:
        """Act on deadlines that have passed and probe the next targets."""
        effects: list[MembershipEffect] = []
        due = [member for member in self._awaited.values() if now >= member.deadline]
        for member in due:
            effects += self._miss(member, now)
        if now >= self._next_round_at:
            self._next_round_at = now + self.cfg.interval_s
            effects += [self._probe(name, now) for name in self.choose_targets()]
        return effects

    def choose_targets(self) -> list[str]:
        """Choose whom to probe: everyone in a small cluster, a few at random in a large one."""
        up = [name for name, member in self._members.items() if _is_up(member.news)]
        down = [name for name, member in self._members.items() if not _is_up(member.news)]
        if len(self._members) < self.cfg.full_mesh_max:
            return up + down
        targets = self._take_turns(self._round, up, self.cfg.fanout)
        # Probes of lost instances find them again after a cut, with nobody to tell of them.
        spare = self.cfg.fanout - len(targets)
        return targets + self._take_turns(self._lost_round, down, max(1, spare))

    def receive(self, gossip: Gossip, now: float) -> list[MembershipEffect]:
        """Take in one message of another instance."""
        name = gossip.sender.name
        if name not in self._members:
            return []
        effects = self._take_member(gossip.sender, now)
        for news in gossip.members:
            effects += self._take_member(news, now)
        for mark in gossip.marks:
            effects += self._take_mark(mark)
        effects += self._hear(name, gossip.sender, now)
        effects += self._compare(gossip, now)
        effects += self._answer(gossip, now)
        return effects

    def _answer(self, gossip: Gossip, now: float) -> list[MembershipEffect]:
        name = gossip.sender.name
        if gossip.kind is GossipKind.PING:
            return [self._send(name, GossipKind.ACK)]
        if gossip.kind is GossipKind.STATE_REQUEST:
            return [self._send_state(name)]
        if gossip.kind is GossipKind.PROBE_REQUEST and gossip.subject in self._members:
            deadline = now + self.cfg.ack_timeout_s
            self._relays.setdefault(gossip.subject, []).append(_Relay(name, deadline))
            return [self._send(gossip.subject, GossipKind.PING)]
        if gossip.kind is GossipKind.PROBE_ANSWER and gossip.subject in self._members:
            self._clear_deadline(self._members[gossip.subject])
        return []

    def _hear(self, name: str, news: MemberNews, now: float) -> list[MembershipEffect]:
        member = self._members[name]
        if news.incarnation < member.news.incarnation:
            return []
        self._clear_deadline(member)
        effects: list[MembershipEffect] = [
            self._send(relay.requester, GossipKind.PROBE_ANSWER, subject=name)
            for relay in self._relays.pop(name, [])
            if now < relay.deadline
        ]
        if member.news.state in (MemberState.SUSPECT, MemberState.LOST):
            # Shows the sender the news that it has to refute.
            effects.append(self._send(name, GossipKind.PING, members=(member.news,)))
        return effects

    def _compare(self, gossip: Gossip, now: float) -> list[MembershipEffect]:
        if gossip.digest == self._digest:
            self._book.count(self._book.rumours, self._repeats())
            return []
        if now < self._next_state_at:
            return []
        if gossip.kind not in (GossipKind.PING, GossipKind.ACK):
            return []
        self._next_state_at = now + self.cfg.state_interval_s
        return [self._send(gossip.sender.name, GossipKind.STATE_REQUEST)]

    def _take_member(self, news: MemberNews, now: float) -> list[MembershipEffect]:
        if news.name == self.own.name:
            self._refute(news)
            return []
        member = self._members.get(news.name)
        if member is None:
            return []
        effects = self._take_config_version(news)
        known = member.news
        if news.incarnation == known.incarnation:
            news = replace(
                max(news, known, key=lambda item: item.rank),
                is_leaving=news.is_leaving or known.is_leaving,
                config_version=max(news.config_version, known.config_version),
            )
        if news == known or news.rank < known.rank:
            return effects
        self._store(member, news, now)
        return effects + _report(known, news)

    def _store(self, member: _Member, news: MemberNews, now: float) -> None:
        known = member.news
        member.news = news
        if news.rank != known.rank or news.is_leaving != known.is_leaving:
            self._digest ^= _hash_member(known) ^ _hash_member(news)
            self._book.add(news.name, news)
        if news.rank != known.rank:
            self._clear_deadline(member)
        if news.state is MemberState.SUSPECT and known.state is not MemberState.SUSPECT:
            self._await(member, now + self.cfg.suspicion_s)

    def _take_mark(self, mark: EndpointMark) -> list[MembershipEffect]:
        known = self.marks.get(mark.endpoint)
        if known is not None and known >= mark.incarnation:
            return []
        if known is not None:
            self._digest ^= _hash_mark(EndpointMark(mark.endpoint, known))
        self.marks[mark.endpoint] = mark.incarnation
        self._digest ^= _hash_mark(mark)
        self._book.add(f"endpoint {mark.endpoint}", mark)
        return [EndpointMarked(mark)]

    def _take_config_version(self, news: MemberNews) -> list[MembershipEffect]:
        if news.config_version <= self.config_version:
            return []
        self.config_version = news.config_version
        return [ConfigVersionSeen(news.config_version, news.name)]

    def _refute(self, news: MemberNews) -> None:
        if news.incarnation != self.own.incarnation or news.refutation < self.own.refutation:
            return
        if news.state in (MemberState.SUSPECT, MemberState.LOST):
            self._change_own(replace(self.own, refutation=news.refutation + 1))

    def _change_own(self, own: MemberNews) -> None:
        if own == self.own:
            return
        self._digest ^= _hash_member(self.own) ^ _hash_member(own)
        self.own = own
        self._book.add(own.name, own)

    def _miss(self, member: _Member, now: float) -> list[MembershipEffect]:
        name = member.news.name
        if member.news.state is MemberState.SUSPECT:
            lost = replace(member.news, state=MemberState.LOST)
            return self._take_member(lost, now)
        if not _is_up(member.news):
            self._clear_deadline(member)
            return []
        helpers = [other for other in self.alive() if other != name]
        if member.is_asked_about or not helpers:
            return self._take_member(replace(member.news, state=MemberState.SUSPECT), now)
        member.is_asked_about = True
        self._await(member, now + 2 * self.cfg.ack_timeout_s)
        chosen = self._rng.sample(helpers, min(self.cfg.helpers, len(helpers)))
        return [self._send(other, GossipKind.PROBE_REQUEST, subject=name) for other in chosen]

    def _probe(self, name: str, now: float) -> SendGossip:
        member = self._members[name]
        if member.deadline == math.inf and _is_up(member.news):
            self._await(member, now + self.cfg.ack_timeout_s)
        return self._send(name, GossipKind.PING)

    def _await(self, member: _Member, deadline: float) -> None:
        member.deadline = deadline
        self._awaited[member.news.name] = member

    def _clear_deadline(self, member: _Member) -> None:
        if member.news.state is not MemberState.SUSPECT:
            member.deadline = math.inf
            self._awaited.pop(member.news.name, None)
        member.is_asked_about = False

    def _take_turns(self, turns: list[str], names: Sequence[str], count: int) -> list[str]:
        allowed = set(names)
        taken: list[str] = []
        while len(taken) < min(count, len(allowed)):
            if not turns:
                turns.extend(names)
                self._rng.shuffle(turns)
            name = turns.pop()
            if name in allowed and name not in taken:
                taken.append(name)
        return taken

    def _send(
        self, to: str, kind: GossipKind, members: tuple[MemberNews, ...] = (), subject: str = ""
    ) -> SendGossip:
        items = self._book.take(self.cfg.max_news, self._repeats())
        members += tuple(item for item in items if isinstance(item, MemberNews))
        marks = tuple(item for item in items if isinstance(item, EndpointMark))
        return SendGossip(to, Gossip(kind, self.own, self._digest, members, marks, subject))

    def _send_state(self, to: str) -> SendGossip:
        members = tuple(
            member.news
            for member in self._members.values()
            if member.news.state is not MemberState.UNKNOWN
        )
        marks = tuple(EndpointMark(*entry) for entry in self.marks.items())
        return SendGossip(to, Gossip(GossipKind.STATE, self.own, self._digest, members, marks))

    def _repeats(self) -> int:
        return REPEATS_PER_DOUBLING * math.ceil(math.log2(len(self._members) + 2))


def _is_up(news: MemberNews) -> bool:
    return news.state in (MemberState.ALIVE, MemberState.SUSPECT)


def _report(known: MemberNews, news: MemberNews) -> list[MembershipEffect]:
    effects: list[MembershipEffect] = []
    is_new = news.incarnation > known.incarnation
    if _is_up(known) and is_new:
        effects.append(MemberLost(news.name, known.incarnation))
    if _is_up(news) and (is_new or not _is_up(known)):
        effects.append(MemberFound(news.name, news.incarnation))
    if _is_up(known) and not is_new and news.state is MemberState.LOST:
        effects.append(MemberLost(news.name, news.incarnation))
    if news.is_leaving and (is_new or not known.is_leaving):
        effects.append(MemberLeaving(news.name, news.incarnation))
    return effects


def _hash_member(news: MemberNews) -> int:
    if news.state is MemberState.UNKNOWN:
        return 0
    is_lost = news.state is MemberState.LOST
    return _hash(f"{news.name} {news.incarnation} {is_lost} {news.is_leaving}")


def _hash_mark(mark: EndpointMark) -> int:
    return _hash(f"{mark.endpoint} {mark.incarnation}")


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=DIGEST_BYTES).digest(), "big") >> 1
