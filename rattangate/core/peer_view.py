"""What one instance believes of the others: who is live, who relays, and whose silence means loss.

A contact whose process has ended, as its closed connections show, is lost at once, so that nothing
more is sent to it. In a large deployment the instances note that one after the other, as they all
connect to the next relay then.

In a large deployment an instance hears of the others only through its relay, so the silence of the
relay is one event and not the loss of all whom it reports on. An instance judges by silence only
those whom it is connected to, its contacts. All others it takes for lost when a list of their data
centre that has just come omits them, or when no list has come for a long time.

A list that does not come says nothing about who relays either: an instance takes the duty of the
relay only when each that precedes it was a silent contact, or is omitted by a list.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from zlib import crc32

from rattangate.core.peer_registry import PeerRegistry
from rattangate.core.relays import RelayPlan

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from rattangate.core.peer_registry import PeerStatus, StatusChange

# Silence after which a contact is lost.
LOST_AFTER_S = 2.0
# The same for a new contact or instance, with time for a connection in both directions.
FIRST_CONTACT_S = 4.0
# How often the relay of a large deployment announces the live instances, how long an announced
# one counts as live without a further announcement, and how old a list may be that omits one.
LIST_INTERVAL_S = 1.0
LISTED_LOST_AFTER_S = 2.5
LIST_FRESH_S = 1.5
# An instance that did not look at its peers for longer was itself paused or busy.
MAX_PAUSE_S = 1.0
# Without a list of their data centre for this long, instances count as lost.
UNLISTED_LOST_AFTER_S = 10.0
# Time over which the instances of a large deployment note that a contact's process has ended.
GONE_SPREAD_S = 0.5
_CRC_RANGE = 2.0**32


@dataclass(frozen=True, slots=True)
class PeerInfo:
    """Hold what the store says of another instance."""

    data_centre: str
    cores: float
    incarnation: int
    is_leaving: bool = False


class PeerView:
    """Track the other instances for one instance; times are of a monotonic clock, in seconds."""

    def __init__(self, name: str, data_centre: str, cores: float, now: float) -> None:
        self.plan = RelayPlan(name, data_centre, cores)
        self.registry = PeerRegistry((), LOST_AFTER_S)
        self.live: frozenset[str] = frozenset()
        self._started_at = now
        self._expired_at = now
        self._resumed_at = now
        self._peers: dict[str, PeerInfo] = {}
        self._first_seen_at: dict[str, float] = {}
        self._contact_since: dict[str, float] = {}
        self._listed_at: dict[str, float] = {}
        # Lost for want of a list, so that they may be relays all the same.
        self._unlisted: set[str] = set()
        # Never heard of, though they were contacts for long enough or a list could have named them.
        self._absent: set[str] = set()
        # When contacts whose processes have ended are lost.
        self._gone_at: dict[str, float] = {}
        self._relay_candidates: frozenset[str] = frozenset()
        # The place of this instance, from 0 to 1, where all would act at one moment.
        self._turn = crc32(name.encode()) / _CRC_RANGE

    @property
    def is_relay(self) -> bool:
        """Tell whether this instance is the relay of its data centre."""
        return self.plan.is_relay(self._relay_candidates)

    @property
    def is_first_relay(self) -> bool:
        """Tell whether this instance is the relay of the first data centre that has live ones."""
        return self.plan.is_first_relay(self._relay_candidates)

    @property
    def relay(self) -> str:
        """Return the relay of the own data centre, which may be this instance."""
        return self.plan.own_relay(self._relay_candidates)

    @property
    def is_lister(self) -> bool:
        """Tell whether this instance announces the live instances of its data centre."""
        return self.plan.is_large and self.is_relay

    @property
    def contacts(self) -> frozenset[str]:
        """Return the instances to which this one keeps connections."""
        return frozenset(self._contact_since)

    @property
    def own_targets(self) -> tuple[str, ...]:
        """Return the instances to which this one sends its own updates."""
        return self.plan.own_targets(self._relay_candidates)

    def forward_targets(self, origin: str, via: str) -> tuple[str, ...]:
        """Return the instances to which an update of `origin` that `via` sent is forwarded."""
        return self.plan.forward_targets(origin, via, self._relay_candidates)

    def turn_s(self, spread_s: float) -> float:
        """Return the seconds that this instance waits where a large deployment would act at once."""
        return spread_s * self._turn if self.plan.is_large else 0.0

    def configure(self, peers: Mapping[str, PeerInfo], now: float) -> None:
        """Replace the set of the other instances."""
        self._peers = dict(peers)
        self._first_seen_at = {name: self._first_seen_at.get(name, now) for name in peers}
        self._unlisted &= peers.keys()
        self._absent &= peers.keys()
        self.registry.configure(peers, LOST_AFTER_S)
        self.plan.configure(
            {name: peer.data_centre for name, peer in peers.items()},
            {name: peer.cores for name, peer in peers.items()},
            [name for name, peer in peers.items() if peer.is_leaving],
        )
        self.refresh(now)

    def record_status(self, status: PeerStatus, now: float) -> StatusChange:
        """Record the status in an update that came from a peer, directly or forwarded."""
        self._unlisted.discard(status.instance)
        self._absent.discard(status.instance)
        self._gone_at.pop(status.instance, None)
        return self.registry.record_status(status, now)

    def record_gone(self, name: str, now: float) -> bool:
        """Record that the process of a contact has ended; return whether that is news.

        `expire` returns the contact once it is lost.
        """
        if name in self._gone_at or self.registry.is_lost(name):
            return False
        self._gone_at[name] = now + self.turn_s(GONE_SPREAD_S)
        return True

    def record_list(
        self, lister: str, live: Iterable[tuple[str, int]], now: float
    ) -> list[tuple[str, int]]:
        """Record the names and incarnations that a relay lists; return those that were lost."""
        data_centre = self._peers[lister].data_centre
        self._listed_at[data_centre] = now
        self._absent.update(
            name
            for name in self._unheard()
            if self._peers[name].data_centre == data_centre
            and now > self._first_seen_at[name] + FIRST_CONTACT_S
        )
        found = []
        for name, incarnation in live:
            self._unlisted.discard(name)
            self._absent.discard(name)
            deadline = now + LISTED_LOST_AFTER_S
            if self.registry.record_indirect_contact(name, incarnation, deadline, now):
                found.append((name, incarnation))
        return found

    def list_live(self) -> tuple[tuple[str, int], ...]:
        """Return the live instances of the own data centre with their incarnations."""
        records = self.registry.peers
        return tuple(
            (name, records[name].incarnation or self._peers[name].incarnation)
            for name in self.plan.local_peers
            if name in self.live
        )

    def expire(self, now: float) -> list[str]:
        """Return the instances that are lost from now on.

        Called at intervals; after a pause of this instance, all have time to be heard again.
        """
        if now > self._expired_at + MAX_PAUSE_S:
            self._resumed_at = now
        self._expired_at = now
        lost = self._expire_gone(now)
        lost += self.registry.expire(now, lambda name: self._is_silence_loss(name, now))
        self._unlisted.update(name for name in lost if self._lacks_list(name, now))
        self._absent.update(
            name
            for name in self._unheard()
            if now > self._contact_since.get(name, now) + FIRST_CONTACT_S
        )
        self.refresh(now)
        return lost

    def refresh(self, now: float) -> None:
        """Derive who is live, who may relay and which instances are contacts.

        A new instance counts as live at first.
        """
        unheard = self._unheard()
        recent = {name for name in unheard if self._first_seen_at[name] > now - FIRST_CONTACT_S}
        leaving = {name for name, peer in self._peers.items() if peer.is_leaving}
        self.live = frozenset({*self.registry.live_names(), *recent} - leaving)
        unknown = self._unlisted | (unheard - self._absent)
        self._relay_candidates = self.live | (unknown - leaving)
        self._contact_since = {
            name: self._contact_since.get(name, now)
            for name in self.plan.connections(self._relay_candidates)
        }

    def _expire_gone(self, now: float) -> list[str]:
        due = [name for name, at in self._gone_at.items() if at <= now]
        for name in due:
            del self._gone_at[name]
        return [name for name in due if self.registry.mark_lost(name)]

    def _unheard(self) -> set[str]:
        return {name for name, peer in self.registry.peers.items() if not peer.was_contacted}

    def _is_silence_loss(self, name: str, now: float) -> bool:
        """Tell whether an instance that was silent for long enough is lost."""
        if now <= self._resumed_at + LOST_AFTER_S:
            return False
        if not self.plan.is_large:
            return True
        since = self._contact_since.get(name)
        if since is not None:
            return now > since + FIRST_CONTACT_S
        return now <= self._last_list_at(name) + LIST_FRESH_S or self._lacks_list(name, now)

    def _lacks_list(self, name: str, now: float) -> bool:
        if not self.plan.is_large or name in self._contact_since:
            return False
        return now > self._last_list_at(name) + UNLISTED_LOST_AFTER_S

    def _last_list_at(self, name: str) -> float:
        return self._listed_at.get(self._peers[name].data_centre, self._started_at)
