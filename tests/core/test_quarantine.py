"""Check verdicts, news, expiry and release of the quarantine, and the turns of trials."""

from __future__ import annotations

import pytest

from rattangate.core.messages import EndpointState, LimitsNews
from rattangate.core.quarantine import (
    CONFIRM_S,
    QUARANTINE_S,
    SETTLE_S,
    SUSPECT_S,
    Quarantine,
    Verdict,
)
from rattangate.core.trials import Trials

BAD = b"bad"
GOOD = b"good"
LATER = 10.0


def _crash(quarantine, endpoint, *digests, now=0.0):
    quarantine.note_endpoint(endpoint, 1, EndpointState.LIVE, now)
    for digest in digests:
        quarantine.note_failure(digest, (endpoint, 1), 0.1, now)
    quarantine.note_endpoint(endpoint, 2, EndpointState.LIVE, now)


@pytest.fixture
def condemned():
    quarantine = Quarantine()
    _crash(quarantine, "a", BAD, GOOD)
    _crash(quarantine, "b", BAD)
    _crash(quarantine, "c", BAD)
    return quarantine


def test_third_crash_condemns_and_frees_the_company(condemned):
    assert condemned.judge(BAD, SETTLE_S / 2) is Verdict.SUSPECT
    assert condemned.judge(BAD, LATER) is Verdict.GUILTY
    assert condemned.judge(GOOD, LATER) is Verdict.FREE
    assert condemned.remaining_s(BAD, LATER) == QUARANTINE_S - LATER


def test_two_crashes_in_a_row_condemn_nobody():
    quarantine = Quarantine()
    _crash(quarantine, "a", GOOD)
    _crash(quarantine, "b", GOOD)
    assert quarantine.judge(GOOD, LATER) is Verdict.SUSPECT
    assert quarantine.judge(GOOD, SUSPECT_S + 1) is Verdict.FREE


def test_company_of_all_three_crashes_is_not_condemned():
    quarantine = Quarantine()
    for endpoint in ("a", "b", "c"):
        _crash(quarantine, endpoint, BAD, GOOD)
    assert {quarantine.judge(digest, LATER) for digest in (BAD, GOOD)} == {Verdict.SUSPECT}


def test_cut_connections_of_a_live_endpoint_are_no_crashes():
    quarantine = Quarantine()
    quarantine.note_endpoint("a", 1, EndpointState.LIVE, 0.0)
    quarantine.note_failure(GOOD, ("a", 1), 0.1, 0.0)
    assert quarantine.judge(GOOD, 0.1) is Verdict.SUSPECT
    assert quarantine.judge(GOOD, CONFIRM_S + 0.1) is Verdict.FREE


def test_unrelated_crashes_ask_for_more_evidence(condemned):
    for endpoint in ("d", "e"):
        _crash(condemned, endpoint, now=1.0)
    assert condemned.judge(BAD, LATER) is Verdict.SUSPECT
    _crash(condemned, "f", BAD, now=LATER)
    assert condemned.judge(BAD, 2 * LATER) is Verdict.GUILTY


def test_completed_run_clears_everywhere():
    quarantine, peer = Quarantine(), Quarantine()
    _crash(quarantine, "a", GOOD)
    peer.merge(quarantine.suspicions(0.1), 0.1)
    assert peer.judge(GOOD, 0.2) is Verdict.SUSPECT
    peer.clear(GOOD, 0.3)
    quarantine.merge(peer.suspicions(0.3), 0.3)
    assert quarantine.judge(GOOD, 0.4) is Verdict.FREE
    peer.merge(quarantine.suspicions(5.0), 5.0)
    assert peer.judge(GOOD, 5.1) is Verdict.FREE


def test_new_instance_learns_the_verdict_and_its_deadline(condemned):
    condemned.judge(BAD, LATER)
    fresh = Quarantine()
    fresh.merge(condemned.suspicions(LATER), LATER)
    assert fresh.judge(BAD, 2 * LATER) is Verdict.GUILTY
    assert fresh.listing(2 * LATER)[0].digest == BAD


def test_entry_expires(condemned):
    condemned.expire(QUARANTINE_S - 1.0)
    peer = Quarantine()
    peer.merge(condemned.suspicions(QUARANTINE_S - 1.0), QUARANTINE_S - 1.0)
    for quarantine in (condemned, peer):
        assert quarantine.judge(BAD, QUARANTINE_S - SETTLE_S) is Verdict.GUILTY
        quarantine.expire(QUARANTINE_S)
        assert quarantine.judge(BAD, QUARANTINE_S) is Verdict.FREE
        assert quarantine.listing(QUARANTINE_S) == ()


def test_operator_releases_everywhere(condemned):
    peer = Quarantine()
    condemned.judge(BAD, LATER)
    peer.merge(condemned.suspicions(LATER), LATER)
    assert peer.judge(BAD, 2 * LATER) is Verdict.GUILTY
    condemned.release(BAD)
    peer.merge(condemned.suspicions(2 * LATER), 2 * LATER)
    assert condemned.judge(BAD, 3 * LATER) is Verdict.FREE
    assert peer.judge(BAD, 3 * LATER) is Verdict.FREE


def _trials(names, *digests, crashes):
    """Return the trials of instances that all know the same suspects and claims."""
    found = {}
    for name in names:
        quarantine = Quarantine()
        for endpoint in ("x", "y")[:crashes]:
            _crash(quarantine, endpoint, *digests)
        found[name] = Trials(name, quarantine)
    return found


def _exchange(trials):
    for name, own in trials.items():
        news = LimitsNews(claims=own.claims())
        for peer, other in trials.items():
            if peer != name:
                other.take_claims(name, news.claims)


def test_one_copy_of_a_suspect_runs_at_a_time():
    trials = _trials(["g0", "g1", "g2"], BAD, crashes=1)
    for own in trials.values():
        own.claim(BAD, 0.0)
    _exchange(trials)
    chosen = {name: own.choose_endpoint(BAD, ["a", "b"], 1.0) for name, own in trials.items()}
    (first,) = [name for name, endpoint in chosen.items() if endpoint]
    trials[first].begin(BAD, chosen[first], 1.0)
    _exchange(trials)
    assert not any(own.choose_endpoint(BAD, ["a", "b"], 2.0) for own in trials.values())
    trials[first].drop(BAD)
    _exchange(trials)
    assert (
        sum(
            own.choose_endpoint(BAD, ["a", "b"], 3.0) is not None
            for name, own in trials.items()
            if name != first
        )
        == 1
    )


def test_suspects_of_two_crashes_are_tried_one_by_one():
    digests = [bytes([n]) * 4 for n in range(8)]
    trials = _trials(["g0", "g1"], *digests, crashes=2)
    for n, digest in enumerate(digests):
        trials[f"g{n % 2}"].claim(digest, 0.0)
    _exchange(trials)
    running = [
        endpoint
        for n, digest in enumerate(digests)
        if (endpoint := trials[f"g{n % 2}"].choose_endpoint(digest, ["a", "b", "c"], 1.0))
    ]
    assert 1 <= len(running) <= 3
    assert len(set(running)) == len(running)
