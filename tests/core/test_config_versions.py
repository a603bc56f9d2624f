"""Configuration versions in a simulated deployment with faults.

Mutants of the code under test must violate an invariant in the same simulation.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import replace

import pytest

from rattangate.core.config_follower import (
    ApplyVersion,
    ConfigFollower,
    ConfigSource,
    ContentRead,
    NewestRead,
    PeerVersionReported,
    PollTick,
    ReadContent,
    ReadFailed,
    ReadFromPeer,
    ReadNewest,
    VersionApplied,
)
from rattangate.core.config_versions import (
    Accepted,
    ChangeConflict,
    ChangeIdReused,
    ConfigChange,
    ContentStored,
    NotAccepted,
    OutcomeUnknown,
    Proposal,
    ReadTable,
    RecordStored,
    RetryAt,
    RetryDue,
    StepFailed,
    StoreContent,
    StoreRecord,
    SwapConflict,
    Swapped,
    SwapVersion,
    TableRead,
    digest_of,
)

INSTANCES = tuple(f"entry-{n}" for n in range(5))
FAULTS_END = 60.0
END_AT = FAULTS_END + 8.0
SEEDS = range(40)


class InvariantViolationError(AssertionError):
    """Report a violated invariant."""


class Simulation:
    """Simulate operators and instances that use one platform, on a virtual clock."""

    def __init__(self, seed: int, change=ConfigChange, follower=ConfigFollower) -> None:
        self.rng = random.Random(seed)
        self.change, self.follower = change, follower
        self.now = 0.0
        self.queue: list = []
        self.sequence = itertools.count()
        self.history: list = []
        self.objects: dict = {}
        self.outcomes: list = []
        self.outages = [self.interval(8.0) for _ in range(3)]
        self.partitions = [
            (self.interval(10.0), set(self.rng.sample(INSTANCES, 2))) for _ in range(2)
        ]
        self.pauses = {name: self.interval(6.0) for name in INSTANCES}
        self.followers = {name: follower(name, INSTANCES) for name in INSTANCES}
        self.applied: dict = {name: {} for name in INSTANCES}

    def interval(self, longest: float) -> tuple[float, float]:
        start = self.rng.uniform(0.0, FAULTS_END - longest)
        return start, start + self.rng.uniform(0.5, longest)

    def is_within(self, interval: tuple[float, float]) -> bool:
        return interval[0] <= self.now < interval[1]

    def schedule(self, delay: float, function, *args) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.sequence), function, args))

    def run(self) -> None:
        for name in INSTANCES:
            self.schedule(self.rng.uniform(0.0, 1.0), self.tick, name)
            self.schedule(self.rng.uniform(0.0, 1.0), self.heartbeat, name)
            self.schedule(self.rng.uniform(5.0, 55.0), self.restart, name)
        for n in range(24):
            self.schedule(self.rng.uniform(0.0, FAULTS_END - 6.0), self.edit, f"change-{n}")
        while self.queue and self.queue[0][0] < END_AT:
            self.now, _, function, args = heapq.heappop(self.queue)
            function(*args)
        self.check_final_state()

    # Operators

    def edit(self, change_id: str) -> None:
        behind = self.rng.choice((0, 0, 0, 1))
        edited_from = max(0, len(self.history) - behind)
        content = f"{change_id} after {edited_from}".encode()
        proposal = Proposal(edited_from, content, change_id, "ann", "why", "now")
        change = self.change(proposal, self.now + 4.0)
        self.run_change_effect(change, proposal, change.start())

    def run_change_effect(self, change, proposal, effect) -> None:
        if isinstance(
            effect, (Accepted, ChangeConflict, ChangeIdReused, NotAccepted, OutcomeUnknown)
        ):
            self.outcomes.append((proposal, effect))
            return
        if isinstance(effect, RetryAt):
            self.schedule(effect.at - self.now, self.reply, change, proposal, RetryDue())
            return
        fault_draw = self.rng.random() if self.now < FAULTS_END else 1.0
        is_down = any(self.is_within(outage) for outage in self.outages)
        if is_down or fault_draw < 0.1:
            lost = StepFailed("no reply", may_have_applied=not is_down)
            if not is_down and fault_draw < 0.05:
                self.schedule(self.rng.uniform(0.0, 2.0), self.apply, effect)
            self.schedule(0.1, self.reply, change, proposal, lost)
            return
        reply = self.apply(effect)
        if fault_draw < 0.25:
            reply = StepFailed("lost reply", may_have_applied=True)
        self.schedule(self.rng.uniform(0.01, 0.2), self.reply, change, proposal, reply)

    def reply(self, change, proposal, msg) -> None:
        self.run_change_effect(change, proposal, change.handle(msg, self.now))

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
                    return SwapConflict()
                if any(rec.change_id == record.change_id for rec in self.history):
                    return SwapConflict()
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
        self.deliver(name, self.followers[name], PollTick())
        self.schedule(0.2, self.tick, name)

    def heartbeat(self, name: str) -> None:
        for peer in INSTANCES:
            if peer != name and not self.is_partitioned(name, peer):
                msg = PeerVersionReported(name, self.followers[name].in_force)
                self.schedule(0.01, self.deliver, peer, self.followers[peer], msg)
        self.schedule(0.5, self.heartbeat, name)

    def is_partitioned(self, one: str, other: str) -> bool:
        return any(
            self.is_within(interval) and (one in side) != (other in side)
            for interval, side in self.partitions
        )

    def restart(self, name: str) -> None:
        self.followers[name] = self.follower(name, INSTANCES)
        self.applied[name] = {}

    def deliver(self, name: str, node, msg) -> None:
        if self.followers[name] is not node:
            return
        if self.is_within(self.pauses[name]):
            self.schedule(self.pauses[name][1] - self.now, self.deliver, name, node, msg)
            return
        for effect in node.handle(msg, self.now):
            self.run_follower_effect(name, node, effect)

    def run_follower_effect(self, name: str, node, effect) -> None:
        is_down = any(self.is_within(outage) for outage in self.outages)
        delay = self.rng.uniform(0.01, 0.6)
        match effect:
            case ReadNewest(source) if is_down:
                self.schedule(delay, self.deliver, name, node, ReadFailed(source))
            case ReadNewest(ConfigSource.TABLE):
                msg = NewestRead(self.newest(), ConfigSource.TABLE)
                self.schedule(delay, self.deliver, name, node, msg)
            case ReadNewest(ConfigSource.OBJECT):
                versions = [key for key in self.objects if isinstance(key, int)]
                record = self.objects[max(versions)] if versions else None
                msg = NewestRead(record, ConfigSource.OBJECT)
                self.schedule(delay, self.deliver, name, node, msg)
            case ReadContent(record):
                content = None if is_down else self.objects[record.digest]
                msg = ContentRead(record, content, ConfigSource.OBJECT)
                self.schedule(delay, self.deliver, name, node, msg)
            case ReadFromPeer(peer):
                if not self.is_partitioned(name, peer) and self.applied[peer]:
                    record, content = self.applied[peer][max(self.applied[peer])]
                    msg = ContentRead(record, content, ConfigSource.PEER)
                    self.schedule(0.05, self.deliver, name, node, msg)
            case StoreRecord(record):
                if not is_down:
                    self.apply(effect)
            case ApplyVersion(record, content, _):
                self.apply_version(name, record, content)
                self.deliver(name, node, VersionApplied(record.version))

    def apply_version(self, name: str, record, content: bytes) -> None:
        if any(version > record.version for version in self.applied[name]):
            raise InvariantViolationError("an older version was applied after a newer one")
        if self.history[record.version - 1] != record or digest_of(content) != record.digest:
            raise InvariantViolationError("a version was applied that was not accepted")
        self.applied[name][record.version] = (record, content)

    def check_final_state(self) -> None:
        accepted = {record.change_id: record for record in self.history}
        for proposal, outcome in self.outcomes:
            if isinstance(outcome, Accepted):
                if accepted.get(proposal.change_id) != outcome.record:
                    raise InvariantViolationError("a change was reported as accepted but is not")
            elif not isinstance(outcome, OutcomeUnknown) and proposal.change_id in accepted:
                raise InvariantViolationError("a change was reported as refused but is accepted")
        if {node.in_force for node in self.followers.values()} != {len(self.history)}:
            raise InvariantViolationError("an instance has not applied the newest version")


@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_under_faults(seed: int):
    simulation = Simulation(seed)
    simulation.run()
    assert len(simulation.history) >= 5


class LastReadWins(ConfigFollower):
    """Mutant: apply the version that was read last, even if it is older."""

    def handle(self, msg, now):
        if isinstance(msg, (NewestRead, ContentRead)):
            self.in_force = 0
        return super().handle(msg, now)


class LostReplyIsFailure(ConfigChange):
    """Mutant: report a change as not accepted when the reply was lost."""

    def handle(self, msg, now):
        if isinstance(msg, StepFailed):
            return NotAccepted(msg.detail)
        return super().handle(msg, now)


@pytest.mark.parametrize(
    "parts",
    [{"follower": LastReadWins}, {"change": LostReplyIsFailure}],
    ids=["last read wins", "lost reply is failure"],
)
def test_mutant_violates_an_invariant(parts):
    def violates(seed: int) -> bool:
        try:
            Simulation(seed, **parts).run()
        except InvariantViolationError:
            return True
        return False

    assert any(violates(seed) for seed in SEEDS)


def propose(**changes) -> ConfigChange:
    proposal = Proposal(3, b"text", "id-1", "ann", "why", "now")
    return ConfigChange(replace(proposal, **changes), deadline=1.0)


def test_conflicting_change_reports_both_records():
    newest = replace(propose()._record, version=4, change_id="id-2", author="bob")
    outcome = propose().handle(TableRead(newest, None), 0.0)
    assert isinstance(outcome, ChangeConflict)
    assert (outcome.proposed.author, outcome.newest.author) == ("ann", "bob")


def test_change_id_cannot_be_reused_with_other_content():
    own = propose()._record
    repeat = propose().handle(TableRead(own, own), 0.0)
    assert repeat == Accepted(own, is_repeat=True)
    other = propose(content=b"other").handle(TableRead(own, own), 0.0)
    assert other == ChangeIdReused(own)


def test_outcome_is_unknown_only_after_a_swap_that_may_have_applied():
    change = propose()
    assert change.handle(StepFailed("down", False), 2.0) == NotAccepted("down")
    assert change.handle(StepFailed("cut", True), 2.0) == NotAccepted("cut")
    change.handle(ContentStored(), 2.0)
    assert change.handle(StepFailed("cut", True), 2.0) == OutcomeUnknown("id-1", "cut")


def test_older_record_after_a_newer_one_is_ignored():
    node = ConfigFollower("entry-1", INSTANCES)
    record = propose()._record
    effects = node.handle(ContentRead(record, b"text", ConfigSource.PEER), 0.0)
    assert isinstance(effects[0], ApplyVersion)
    node.handle(VersionApplied(4), 0.0)
    old = replace(record, version=3)
    assert node.handle(ContentRead(old, b"text", ConfigSource.PEER), 1.0) == []
    assert node.handle(NewestRead(old, ConfigSource.TABLE), 1.0) == []


def test_content_with_a_wrong_digest_is_not_applied():
    node = ConfigFollower("entry-1", INSTANCES)
    assert node.handle(ContentRead(propose()._record, b"texd", ConfigSource.PEER), 0.0) == []
