"""Check verdicts, updates to peers, expiry and release of the quarantine, and trial scheduling."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rattangate.core.fleet import (
    FleetView,
    FleetViewCfg,
    ListedEndpoint,
    ModelVersion,
    WeightsUpdate,
)
from rattangate.core.messages import (
    CrashRecorded,
    EndpointState,
    Evidence,
    LimitsUpdate,
    SuspicionRecorded,
    Verdict,
    VerdictChanged,
)
from rattangate.core.quarantine import (
    CONFIRM_TIMEOUT_S,
    MAX_TOLD_BYTES,
    PROPAGATION_S,
    QUARANTINE_S,
    SUSPECT_S,
    Quarantine,
)
from rattangate.core.routes import Service
from rattangate.core.trials import TrialScheduler
from rattangate.peers.codec import encode_update, make_update
from rattangate.peers.framing import MAX_FRAME_BYTES

POISON = b"bad"
HARMLESS = b"good"
LATER = 10.0


def _crash(quarantine, endpoint, *digests, now=0.0):
    quarantine.record_endpoint(endpoint, 1, EndpointState.LIVE, now)
    for digest in digests:
        quarantine.record_failure(digest, (endpoint, 1), 0.1, now)
    quarantine.record_endpoint(endpoint, 2, EndpointState.LIVE, now)


@pytest.fixture
def quarantined():
    quarantine = Quarantine()
    _crash(quarantine, "a", POISON, HARMLESS)
    _crash(quarantine, "b", POISON)
    _crash(quarantine, "c", POISON)
    return quarantine


def test_third_crash_quarantines_the_digest_and_frees_others_on_the_endpoint(quarantined):
    assert quarantined.verdict_on(POISON, PROPAGATION_S / 2) is Verdict.SUSPECT
    assert quarantined.verdict_on(POISON, LATER) is Verdict.GUILTY
    assert quarantined.verdict_on(HARMLESS, LATER) is Verdict.FREE
    assert quarantined.remaining_s(POISON, LATER) == QUARANTINE_S - LATER


def test_two_crashes_quarantine_nothing():
    quarantine = Quarantine()
    _crash(quarantine, "a", HARMLESS)
    _crash(quarantine, "b", HARMLESS)
    assert quarantine.verdict_on(HARMLESS, LATER) is Verdict.SUSPECT
    assert quarantine.verdict_on(HARMLESS, SUSPECT_S + 1) is Verdict.FREE


def test_digests_that_ran_at_the_same_three_crashes_are_not_quarantined():
    quarantine = Quarantine()
    for endpoint in ("a", "b", "c"):
        _crash(quarantine, endpoint, POISON, HARMLESS)
    assert {quarantine.verdict_on(digest, LATER) for digest in (POISON, HARMLESS)} == {
        Verdict.SUSPECT
    }


def test_lost_connection_to_a_live_endpoint_is_not_a_crash():
    quarantine = Quarantine()
    quarantine.record_endpoint("a", 1, EndpointState.LIVE, 0.0)
    quarantine.record_failure(HARMLESS, ("a", 1), 0.1, 0.0)
    assert quarantine.verdict_on(HARMLESS, 0.1) is Verdict.SUSPECT
    assert quarantine.verdict_on(HARMLESS, CONFIRM_TIMEOUT_S + 0.1) is Verdict.FREE


@pytest.mark.parametrize(
    "change",
    [
        lambda view: view.set_reachable("e1", 1, False, 1.0),
        lambda view: view.suspend_until("e1", 1, 9.0, 1.0),
        lambda view: view.update_weights(WeightsUpdate("e1", 1, "m", 0, 4.0), 1.0),
        lambda view: [*view.mark_leaving("e1", 1, 1.0), *view.update_list([], 1.0)],
    ],
    ids=["in doubt", "pausing", "loading", "left"],
)
def test_endpoint_that_takes_no_requests_for_now_or_has_left_did_not_crash(change):
    quarantine = Quarantine()
    view = FleetView(FleetViewCfg("dc", 128, 0.0))
    view.configure({"m": Service("m", 100, 64, 12_800, ("m",))}, 0.0)
    listed = ListedEndpoint("e1", 1, "m", "", "dc", 1, False, (ModelVersion("m", 1),))
    for status in [*view.update_list([listed], 0.0), *change(view)]:
        quarantine.record_endpoint(status.endpoint, status.incarnation, status.state, 1.0)
    assert quarantine.take_changes() == []


def test_unrelated_crashes_require_one_more_crash(quarantined):
    for endpoint in ("d", "e"):
        _crash(quarantined, endpoint, now=1.0)
    assert quarantined.verdict_on(POISON, LATER) is Verdict.SUSPECT
    _crash(quarantined, "f", POISON, now=LATER)
    assert quarantined.verdict_on(POISON, 2 * LATER) is Verdict.GUILTY


def test_completed_run_clears_a_suspect_on_all_instances():
    quarantine, peer = Quarantine(), Quarantine()
    _crash(quarantine, "a", HARMLESS)
    peer.merge(quarantine.suspicions(0.1), 0.1)
    assert peer.verdict_on(HARMLESS, 0.2) is Verdict.SUSPECT
    peer.clear(HARMLESS, 0.3)
    quarantine.merge(peer.suspicions(0.3), 0.3)
    assert quarantine.verdict_on(HARMLESS, 0.4) is Verdict.FREE
    peer.merge(quarantine.suspicions(5.0), 5.0)
    assert peer.verdict_on(HARMLESS, 5.1) is Verdict.FREE


def test_new_instance_learns_a_quarantined_digest_from_a_peer(quarantined):
    quarantined.verdict_on(POISON, LATER)
    new_instance = Quarantine()
    new_instance.merge(quarantined.suspicions(LATER), LATER)
    assert new_instance.verdict_on(POISON, 2 * LATER) is Verdict.GUILTY
    assert new_instance.listing(2 * LATER)[0].digest == POISON


def test_what_a_peer_told_is_passed_on_when_a_connection_opens_and_not_told_again(quarantined):
    told = Quarantine()
    told.merge(quarantined.suspicions(LATER), LATER)
    assert told.suspicions(LATER) == ()
    new_instance = Quarantine()
    new_instance.merge(told.known_suspicions(LATER), LATER)
    assert new_instance.verdict_on(POISON, 2 * LATER) is Verdict.GUILTY


def test_failures_of_very_long_prompts_are_told_in_updates_that_fit_a_frame():
    quarantine = Quarantine()
    parts = tuple(f"{number:064x}" for number in range(100))
    for number in range(500):
        quarantine.record_failure(b"%d" % number, ("a", 1), 0.1, float(number), parts)
    told = []
    while suspicions := quarantine.suspicions(500.0):
        update = make_update(None, "i", 1, 1, False)
        frame = encode_update(replace(update, evidence=Evidence(suspicions)))
        assert len(frame) < MAX_FRAME_BYTES / 2
        told += suspicions
    assert {item.digest for item in told} == {b"%d" % number for number in range(500)}
    newest = quarantine.known_suspicions(500.0)
    assert newest[0].digest == b"499"
    assert sum(len(part) for item in newest for part in item.parts) < MAX_TOLD_BYTES


def test_each_change_of_belief_is_reported_once():
    quarantine = Quarantine()
    for endpoint in ("a", "b", "c"):
        quarantine.record_endpoint(endpoint, 1, EndpointState.LIVE, 0.0)
        quarantine.record_failure(POISON, (endpoint, 1), 0.1, 0.0, ("part",))
        quarantine.record_endpoint(endpoint, 2, EndpointState.LIVE, 0.0)
    quarantine.verdict_on(POISON, LATER)
    quarantine.release(POISON)
    assert quarantine.take_changes() == [
        SuspicionRecorded(POISON, ("part",), "a", 1, 0.1),
        CrashRecorded("a", 1, 1),
        SuspicionRecorded(POISON, ("part",), "b", 1, 0.1),
        CrashRecorded("b", 1, 1),
        SuspicionRecorded(POISON, ("part",), "c", 1, 0.1),
        CrashRecorded("c", 1, 1),
        VerdictChanged(POISON.hex(), Verdict.GUILTY, 3),
        VerdictChanged(POISON.hex(), Verdict.FREE, 0),
    ]
    assert quarantine.take_changes() == []


def test_quarantine_expires_on_all_instances_at_the_same_time(quarantined):
    quarantined.expire(QUARANTINE_S - 1.0)
    peer = Quarantine()
    peer.merge(quarantined.suspicions(QUARANTINE_S - 1.0), QUARANTINE_S - 1.0)
    for quarantine in (quarantined, peer):
        assert quarantine.verdict_on(POISON, QUARANTINE_S - PROPAGATION_S) is Verdict.GUILTY
        quarantine.expire(QUARANTINE_S)
        assert quarantine.verdict_on(POISON, QUARANTINE_S) is Verdict.FREE
        assert quarantine.listing(QUARANTINE_S) == ()


def test_operator_release_reaches_peers(quarantined):
    peer = Quarantine()
    quarantined.verdict_on(POISON, LATER)
    peer.merge(quarantined.suspicions(LATER), LATER)
    assert peer.verdict_on(POISON, 2 * LATER) is Verdict.GUILTY
    quarantined.release(POISON)
    peer.merge(quarantined.suspicions(2 * LATER), 2 * LATER)
    assert quarantined.verdict_on(POISON, 3 * LATER) is Verdict.FREE
    assert peer.verdict_on(POISON, 3 * LATER) is Verdict.FREE


def _schedulers(names, *digests, crashes):
    """Return the trial scheduler of each instance; all know the same suspects."""
    found = {}
    for name in names:
        quarantine = Quarantine()
        for endpoint in ("x", "y")[:crashes]:
            _crash(quarantine, endpoint, *digests)
        found[name] = TrialScheduler(name, quarantine)
    return found


def _exchange(schedulers):
    for name, scheduler in schedulers.items():
        update = LimitsUpdate(claims=scheduler.claims())
        for peer, other in schedulers.items():
            if peer != name:
                other.set_peer_claims(name, update.claims)


def test_only_one_copy_of_a_suspect_runs_over_all_instances():
    schedulers = _schedulers(["g0", "g1", "g2"], POISON, crashes=1)
    for scheduler in schedulers.values():
        scheduler.add_copy(POISON, 0.0)
    _exchange(schedulers)
    chosen = {
        name: scheduler.choose_endpoint(POISON, ["a", "b"], 1.0)
        for name, scheduler in schedulers.items()
    }
    (first,) = [name for name, endpoint in chosen.items() if endpoint]
    schedulers[first].begin_trial(POISON, chosen[first], 1.0)
    _exchange(schedulers)
    assert not any(
        scheduler.choose_endpoint(POISON, ["a", "b"], 2.0) for scheduler in schedulers.values()
    )
    schedulers[first].remove_copy(POISON)
    _exchange(schedulers)
    assert (
        sum(
            scheduler.choose_endpoint(POISON, ["a", "b"], 3.0) is not None
            for name, scheduler in schedulers.items()
            if name != first
        )
        == 1
    )


def test_suspects_of_two_crashes_run_one_per_endpoint():
    digests = [bytes([n]) * 4 for n in range(8)]
    schedulers = _schedulers(["g0", "g1"], *digests, crashes=2)
    for n, digest in enumerate(digests):
        schedulers[f"g{n % 2}"].add_copy(digest, 0.0)
    _exchange(schedulers)
    running = [
        endpoint
        for n, digest in enumerate(digests)
        if (endpoint := schedulers[f"g{n % 2}"].choose_endpoint(digest, ["a", "b", "c"], 1.0))
    ]
    assert 1 <= len(running) <= 3
    assert len(set(running)) == len(running)
