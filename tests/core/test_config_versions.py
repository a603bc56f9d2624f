"""Configuration versions in a simulated deployment with faults, and mutants that must fail there."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import replace

import pytest

from rattangate.core.config_follower import (
    AskPeer,
    ConfigFollower,
    ConfigSource,
    ContentRead,
    Enforce,
    Enforced,
    NewestRead,
    PollTick,
    ReadContent,
    ReadFailed,
    ReadNewest,
    VersionHeard,
)
from rattangate.core.config_versions import (
    Accepted,
    ChangeIdReused,
    ConfigChange,
    ContentStored,
    NotAccepted,
    OutcomeUnknown,
    Proposal,
    Raced,
    ReadTable,
    RecordStored,
    RetryAt,
    RetryDue,
    StepFailed,
    StoreContent,
    StoreRecord,
    Swapped,
    SwapRefused,
    SwapVersion,
    TableRead,
    digest_of,
)

INSTANCES = tuple(f"entry-{n}" for n in range(5))
FAULTS_END = 60.0
SETTLED_AT = FAULTS_END + 8.0
SEEDS = range(40)


class BrokenPromiseError(AssertionError):
    """Report that an invariant does not hold."""


class World:
    """Run operators and instances against a platform on a virtual clock."""

    def __init__(self, seed: int, change=ConfigChange, follower=ConfigFollower) -> None:
        self.rng = random.Random(seed)
        self.change, self.follower = change, follower
        self.now = 0.0
        self.queue: list = []
        self.order = itertools.count()
        self.history: list = []
        self.objects: dict = {}
        self.outcomes: list = []
        self.outages = [self.window(8.0) for _ in range(3)]
        self.cuts = [(self.window(10.0), set(self.rng.sample(INSTANCES, 2))) for _ in range(2)]
        self.frozen = {name: self.window(6.0) for name in INSTANCES}
        self.nodes = {name: follower(name, INSTANCES) for name in INSTANCES}
        self.given: dict = {name: {} for name in INSTANCES}

    def window(self, longest: float) -> tuple[float, float]:
        start = self.rng.uniform(0.0, FAULTS_END - longest)
        return start, start + self.rng.uniform(0.5, longest)

    def within(self, window: tuple[float, float]) -> bool:
        return window[0] <= self.now < window[1]

    def later(self, delay: float, call, *args) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.order), call, args))

    def run(self) -> None:
        for name in INSTANCES:
            self.later(self.rng.uniform(0.0, 1.0), self.tick, name)
            self.later(self.rng.uniform(0.0, 1.0), self.heartbeat, name)
            self.later(self.rng.uniform(5.0, 55.0), self.restart, name)
        for n in range(24):
            self.later(self.rng.uniform(0.0, FAULTS_END - 6.0), self.edit, f"change-{n}")
        while self.queue and self.queue[0][0] < SETTLED_AT:
            self.now, _, call, args = heapq.heappop(self.queue)
            call(*args)
        self.check_end()

    # Operators

    def edit(self, change_id: str) -> None:
        behind = self.rng.choice((0, 0, 0, 1))
        edited_from = max(0, len(self.history) - behind)
        content = f"{change_id} after {edited_from}".encode()
        proposal = Proposal(edited_from, content, change_id, "ann", "why", "now")
        change = self.change(proposal, self.now + 4.0)
        self.operate(change, proposal, change.start())

    def operate(self, change, proposal, effect) -> None:
        if isinstance(effect, (Accepted, Raced, ChangeIdReused, NotAccepted, OutcomeUnknown)):
            self.outcomes.append((proposal, effect))
            return
        if isinstance(effect, RetryAt):
            self.later(effect.at - self.now, self.answer, change, proposal, RetryDue())
            return
        fate = self.rng.random() if self.now < FAULTS_END else 1.0
        down = any(self.within(outage) for outage in self.outages)
        if down or fate < 0.1:
            lost = StepFailed("no answer", may_have_applied=not down)
            if not down and fate < 0.05:
                self.later(self.rng.uniform(0.0, 2.0), self.apply, effect)
            self.later(0.1, self.answer, change, proposal, lost)
            return
        answer = self.apply(effect)
        if fate < 0.25:
            answer = StepFailed("lost reply", may_have_applied=True)
        self.later(self.rng.uniform(0.01, 0.2), self.answer, change, proposal, answer)

    def answer(self, change, proposal, msg) -> None:
        self.operate(change, proposal, change.handle(msg, self.now))

    def apply(self, effect):
        match effect:
            case ReadTable(change_id):
                own = [rec for rec in self.history if rec.change_id == change_id]
                return TableRead(self.newest(), own[0] if own else None)
            case StoreContent(digest, content):
                self.objects.setdefault(digest, content)
                return ContentStored()
            case SwapVersion(record):
                if record.version != len(self.history) + 1:
                    return SwapRefused()
                if any(rec.change_id == record.change_id for rec in self.history):
                    return SwapRefused()
                self.history.append(record)
                return Swapped()
            case StoreRecord(record):
                self.objects[record.version] = record
                return RecordStored()
        raise TypeError(effect)

    def newest(self):
        return self.history[-1] if self.history else None

    # Instances

    def tick(self, name: str) -> None:
        self.deliver(name, self.nodes[name], PollTick())
        self.later(0.2, self.tick, name)

    def heartbeat(self, name: str) -> None:
        for peer in INSTANCES:
            if peer != name and not self.is_cut(name, peer):
                msg = VersionHeard(name, self.nodes[name].in_force)
                self.later(0.01, self.deliver, peer, self.nodes[peer], msg)
        self.later(0.5, self.heartbeat, name)

    def is_cut(self, one: str, other: str) -> bool:
        return any(self.within(w) and (one in side) != (other in side) for w, side in self.cuts)

    def restart(self, name: str) -> None:
        self.nodes[name] = self.follower(name, INSTANCES)
        self.given[name] = {}

    def deliver(self, name: str, node, msg) -> None:
        if self.nodes[name] is not node:
            return
        if self.within(self.frozen[name]):
            self.later(self.frozen[name][1] - self.now, self.deliver, name, node, msg)
            return
        for effect in node.handle(msg, self.now):
            self.carry_out(name, node, effect)

    def carry_out(self, name: str, node, effect) -> None:
        down = any(self.within(outage) for outage in self.outages)
        delay = self.rng.uniform(0.01, 0.6)
        match effect:
            case ReadNewest(source) if down:
                self.later(delay, self.deliver, name, node, ReadFailed(source))
            case ReadNewest(ConfigSource.TABLE):
                msg = NewestRead(self.newest(), ConfigSource.TABLE)
                self.later(delay, self.deliver, name, node, msg)
            case ReadNewest(ConfigSource.OBJECT):
                versions = [key for key in self.objects if isinstance(key, int)]
                record = self.objects[max(versions)] if versions else None
                msg = NewestRead(record, ConfigSource.OBJECT)
                self.later(delay, self.deliver, name, node, msg)
            case ReadContent(record):
                content = None if down else self.objects[record.digest]
                msg = ContentRead(record, content, ConfigSource.OBJECT)
                self.later(delay, self.deliver, name, node, msg)
            case AskPeer(peer):
                if not self.is_cut(name, peer) and self.given[peer]:
                    record, content = self.given[peer][max(self.given[peer])]
                    msg = ContentRead(record, content, ConfigSource.PEER)
                    self.later(0.05, self.deliver, name, node, msg)
            case StoreRecord(record):
                if not down:
                    self.apply(effect)
            case Enforce(record, content, _):
                self.enforce(name, record, content)
                self.deliver(name, node, Enforced(record.version))

    def enforce(self, name: str, record, content: bytes) -> None:
        if any(version > record.version for version in self.given[name]):
            raise BrokenPromiseError("an older version after a newer one")
        if self.history[record.version - 1] != record or digest_of(content) != record.digest:
            raise BrokenPromiseError("a version that was not accepted")
        self.given[name][record.version] = (record, content)

    def check_end(self) -> None:
        accepted = {record.change_id: record for record in self.history}
        for proposal, outcome in self.outcomes:
            if isinstance(outcome, Accepted):
                if accepted.get(proposal.change_id) != outcome.record:
                    raise BrokenPromiseError("said accepted and is not")
            elif not isinstance(outcome, OutcomeUnknown) and proposal.change_id in accepted:
                raise BrokenPromiseError("said refused and is accepted")
        if {node.in_force for node in self.nodes.values()} != {len(self.history)}:
            raise BrokenPromiseError("the newest version is not in force everywhere")


@pytest.mark.parametrize("seed", SEEDS)
def test_promise_holds_under_faults(seed: int):
    world = World(seed)
    world.run()
    assert len(world.history) >= 5


class LastReadWins(ConfigFollower):
    """Take whatever is read, however old."""

    def handle(self, msg, now):
        if isinstance(msg, (NewestRead, ContentRead)):
            self.in_force = 0
        return super().handle(msg, now)


class LostReplyIsFailure(ConfigChange):
    """Take a lost reply for a change without effect."""

    def handle(self, msg, now):
        if isinstance(msg, StepFailed):
            return NotAccepted(msg.detail)
        return super().handle(msg, now)


@pytest.mark.parametrize(
    "parts",
    [{"follower": LastReadWins}, {"change": LostReplyIsFailure}],
    ids=["last read wins", "lost reply is failure"],
)
def test_mutant_breaks_the_promise(parts):
    def breaks(seed: int) -> bool:
        try:
            World(seed, **parts).run()
        except BrokenPromiseError:
            return True
        return False

    assert any(breaks(seed) for seed in SEEDS)


def propose(**changes) -> ConfigChange:
    proposal = Proposal(3, b"text", "id-1", "ann", "why", "now")
    return ConfigChange(replace(proposal, **changes), deadline=1.0)


def test_race_names_both_sides():
    newest = replace(propose()._record, version=4, change_id="id-2", author="bob")
    outcome = propose().handle(TableRead(newest, None), 0.0)
    assert isinstance(outcome, Raced)
    assert (outcome.proposed.author, outcome.newest.author) == ("ann", "bob")


def test_change_id_is_bound_to_its_content():
    own = propose()._record
    repeat = propose().handle(TableRead(own, own), 0.0)
    assert repeat == Accepted(own, is_repeat=True)
    other = propose(content=b"other").handle(TableRead(own, own), 0.0)
    assert other == ChangeIdReused(own)


def test_outcome_is_unknown_only_after_a_swap_that_may_stand():
    change = propose()
    assert change.handle(StepFailed("down", False), 2.0) == NotAccepted("down")
    assert change.handle(StepFailed("cut", True), 2.0) == NotAccepted("cut")
    change.handle(ContentStored(), 2.0)
    assert change.handle(StepFailed("cut", True), 2.0) == OutcomeUnknown("id-1", "cut")


def test_stale_record_after_a_newer_one_is_ignored():
    node = ConfigFollower("entry-1", INSTANCES)
    record = propose()._record
    enforce = node.handle(ContentRead(record, b"text", ConfigSource.PEER), 0.0)
    assert isinstance(enforce[0], Enforce)
    node.handle(Enforced(4), 0.0)
    old = replace(record, version=3)
    assert node.handle(ContentRead(old, b"text", ConfigSource.PEER), 1.0) == []
    assert node.handle(NewestRead(old, ConfigSource.TABLE), 1.0) == []


def test_damaged_content_is_not_enforced():
    node = ConfigFollower("entry-1", INSTANCES)
    assert node.handle(ContentRead(propose()._record, b"texd", ConfigSource.PEER), 0.0) == []
