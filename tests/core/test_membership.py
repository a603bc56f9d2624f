"""Tests of membership, with many instances in one process and virtual time."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from bench.membership_sim import MembershipSim
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
    MemberState,
)
from rattangate.core.membership import Membership, MembershipCfg

ALIVE = MemberRecord("b", 7, 0, MemberState.ALIVE, False, 0)


def make_membership(peers: int = 3) -> Membership:
    names = [chr(ord("b") + number) for number in range(peers)]
    return Membership(MembershipCfg(), "a", 5, names, Random(1))


def ping(sender: MemberRecord, **fields) -> Gossip:
    return Gossip(GossipKind.PING, sender, 0, **fields)


def of_type(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def all_see_each_other(sim: MembershipSim) -> bool:
    return all(len(node.alive()) == len(sim.nodes) - 1 for node in sim.nodes.values())


def test_small_clusters_probe_all_peers_and_large_ones_a_fixed_number():
    assert len(make_membership(6).choose_targets()) == 6
    sim = MembershipSim(40)
    sim.run(10)
    node = sim.nodes["entry-0"]
    assert {len(node.choose_targets()) for _ in range(50)} == {node.cfg.fanout}


def test_probe_order_covers_all_peers_before_it_repeats():
    sim = MembershipSim(31)
    sim.run(10)
    node = sim.nodes["entry-0"]
    node._probe_order.clear()
    probed = [name for _ in range(10) for name in node.choose_targets()]
    assert sorted(probed) == sorted(node.alive())


@pytest.mark.parametrize("count", [7, 40])
def test_all_instances_detect_a_crash_within_five_seconds(count):
    sim = MembershipSim(count)
    sim.run(5)
    sim.kill("entry-3")
    sim.run(5)
    assert sim.seen_fraction("entry-3", is_up=False) == 1.0
    assert {item.subject for item in sim.membership_events if not item.is_found} == {"entry-3"}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_message_loss_causes_no_false_detection(seed):
    sim = MembershipSim(9, seed=seed, loss=0.1)
    sim.run(60)
    assert [item for item in sim.membership_events if not item.is_found] == []


def test_bytes_sent_per_instance_do_not_grow_with_the_cluster():
    costs = []
    for count in (20, 80):
        sim = MembershipSim(count)
        sim.run(15)
        sim.reset_counters()
        sim.run(5)
        costs.append(sum(sim.sent_bytes.values()) / count)
    assert costs[1] < costs[0] * 1.1


def test_newest_incarnation_replaces_older_ones():
    node = make_membership()
    node.receive(ping(ALIVE), 1.0)
    effects = node.receive(ping(replace(ALIVE, incarnation=8)), 2.0)
    assert of_type(effects, MemberLost) == [MemberLost("b", 7)]
    assert of_type(effects, MemberFound) == [MemberFound("b", 8)]
    outdated = ping(replace(ALIVE, name="c"), members=(replace(ALIVE, state=MemberState.LOST),))
    effects = node.receive(outdated, 3.0)
    assert of_type(effects, MemberLost) == []
    assert node.members["b"].incarnation == 8


def test_paused_instance_refutes_its_loss_when_it_resumes():
    sim = MembershipSim(7)
    sim.run(3)
    paused = sim.nodes["entry-2"]
    sim.kill("entry-2")
    sim.run(6)
    assert sim.seen_fraction("entry-2", is_up=False) == 1.0
    sim.nodes["entry-2"] = paused
    sim._schedule(sim.now, "entry-2", paused.own.incarnation, b"")
    sim.run(3)
    assert sim.seen_fraction("entry-2", is_up=True) == 1.0
    assert paused.own.refutation > 0


@pytest.mark.parametrize("count", [7, 30])
def test_regions_converge_after_a_network_partition_heals(count):
    sim = MembershipSim(count)
    sim.run(5)
    sim.partitioned_regions = {frozenset((0, 1)), frozenset((0, 2))}
    sim.run(30)
    assert sim.seen_fraction("entry-0", is_up=False) > 0.5
    sim.apply("entry-0", sim.nodes["entry-0"].mark_endpoint_leaving(LeavingEndpoint("engine-1", 4)))
    sim.nodes["entry-1"].set_config_version(9)
    sim.run(30)
    assert "engine-1" not in sim.nodes["entry-1"].marks
    sim.partitioned_regions = set()
    sim.run(12)
    assert all_see_each_other(sim)
    assert {node.marks.get("engine-1") for node in sim.nodes.values()} == {4}
    assert {node.config_version for node in sim.nodes.values()} == {9}
    assert len({node.digest for node in sim.nodes.values()}) == 1


def test_cluster_converges_within_five_seconds_of_a_full_restart():
    sim = MembershipSim(30)
    sim.run(10)
    for name in sim.names:
        sim.kill(name)
        sim.start(name)
    sim.run(5)
    assert all_see_each_other(sim)


def test_leaving_flag_is_cleared_only_by_a_new_incarnation():
    node = make_membership()
    leaving = replace(ALIVE, is_leaving=True)
    assert of_type(node.receive(ping(leaving), 1.0), MemberLeaving) == [MemberLeaving("b", 7)]
    node.receive(ping(replace(ALIVE, refutation=3)), 2.0)
    assert node.members["b"].is_leaving
    node.receive(ping(replace(ALIVE, incarnation=8)), 3.0)
    assert not node.members["b"].is_leaving


def test_leaving_marks_and_config_versions_only_increase():
    node = make_membership()
    mark = LeavingEndpoint("engine-1", 4)
    first = node.receive(ping(replace(ALIVE, config_version=6), marks=(mark,)), 1.0)
    assert of_type(first, EndpointLeaving) == [EndpointLeaving(mark)]
    assert of_type(first, ConfigVersionSeen) == [ConfigVersionSeen(6, "b")]
    old = (LeavingEndpoint("engine-1", 3),)
    again = node.receive(ping(replace(ALIVE, config_version=5), marks=old), 2.0)
    assert not of_type(again, EndpointLeaving)
    assert not of_type(again, ConfigVersionSeen)
    assert (node.marks, node.config_version) == ({"engine-1": 4}, 6)


def test_unknown_senders_are_ignored_and_removed_peers_dropped():
    node = make_membership()
    assert node.receive(ping(replace(ALIVE, name="unknown")), 1.0) == []
    node.receive(ping(ALIVE), 1.0)
    before = make_membership().digest
    node.set_peers(["c", "d"])
    assert node.digest == before
    assert "b" not in node.members
