"""Check that limits hold over all instances together, and apart when instances are cut off."""

from __future__ import annotations

import math

from rattangate.core.limits import MAX_WAIT_S, WorkspaceLimit, WorkspaceLimits
from rattangate.core.messages import WorkspaceUsage
from rattangate.core.refusals import RefusalReason

LIMIT = WorkspaceLimit("festival", max_streams=70, tokens_per_s=7000.0)
STREAMS = WorkspaceLimit("festival", max_streams=70)


def _site(limit, instances=7):
    return {f"g{n}": WorkspaceLimits(instances, [limit]) for n in range(instances)}


def _exchange(site, now, apart=frozenset()):
    for name, own in site.items():
        for peer, limits in site.items():
            if peer != name and not {name, peer} & apart:
                limits.take_usage(name, own.usage(now))


def _flood(site, names, seconds, tokens=100, apart=frozenset()):
    """Offer far more than the limit and return what was admitted, with the last denial."""
    admitted, denial = 0, None
    for step in range(int(seconds / 0.1)):
        now = 0.1 * step
        _exchange(site, now, apart)
        for name in names:
            for _ in range(20):
                answer = site[name].admit("festival", tokens, now)
                admitted += answer is None
                denial = answer or denial
    return admitted, denial


def test_streams_of_all_instances_stay_within_the_limit():
    site = _site(STREAMS)
    admitted, denial = _flood(site, site, 3.0)
    assert 60 <= admitted <= 70
    assert denial.reason is RefusalReason.STREAM_LIMIT
    assert denial.retry_after_s > 0


def test_one_instance_borrows_what_the_others_leave():
    site = _site(STREAMS)
    admitted, _ = _flood(site, ["g0"], 8.0)
    assert admitted == 70


def test_instance_cut_off_keeps_to_its_share():
    site = _site(STREAMS)
    assert _flood(site, ["g0"], 1.0, apart=frozenset(["g0"]))[0] == 10
    assert 50 <= _flood(site, ["g1", "g2"], 3.0, apart=frozenset(["g0"]))[0] <= 60


def test_lost_peer_keeps_its_share_reserved():
    site = _site(STREAMS)
    _exchange(site, 0.0)
    for limits in list(site.values())[1:]:
        limits.drop_peer("g0")
    survivors = dict(list(site.items())[1:])
    assert _flood(survivors, survivors, 3.0)[0] <= 60


def test_released_stream_makes_room():
    limits = WorkspaceLimits(1, [WorkspaceLimit("festival", max_streams=1)])
    assert limits.admit("festival", 1, 0.0) is None
    assert limits.admit("festival", 1, 1.0).retry_after_s == MAX_WAIT_S
    for step in range(1, 100):
        limits.release("festival", 0.5 * step)
        assert limits.admit("festival", 1, 0.5 * step) is None
    assert 0.3 <= limits.admit("festival", 1, 50.0).retry_after_s <= 1.0


def test_rate_holds_wherever_the_requests_come():
    for names in (["g0"], ["g0", "g1", "g2", "g3", "g4", "g5", "g6"]):
        site = _site(WorkspaceLimit("festival", max_streams=10**6, tokens_per_s=7000.0))
        admitted, denial = _flood(site, names, 20.0)
        assert 0.9 * 1400 <= admitted <= 1.2 * 1400
        assert denial.reason is RefusalReason.RATE_LIMIT


def test_rate_of_an_instance_cut_off_is_its_share():
    site = _site(WorkspaceLimit("festival", max_streams=10**6, tokens_per_s=7000.0))
    admitted, _ = _flood(site, ["g0"], 20.0, apart=frozenset(["g0"]))
    assert admitted <= 1.2 * 200


def test_workspaces_without_a_limit_may_be_left_unbounded():
    limits = WorkspaceLimits(63, unlisted_streams=math.inf)
    for number in range(62):
        limits.take_usage(f"g{number}", [WorkspaceUsage("", 40, 0)])
    assert [limits.admit("", 100, 1.0) for _ in range(1000)] == [None] * 1000
    bounded = WorkspaceLimits(63)
    for number in range(62):
        bounded.take_usage(f"g{number}", [WorkspaceUsage("", 40, 0)])
    assert bounded.admit("", 100, 1.0) is not None
