"""Check that limits hold over all instances together, also during a network partition."""

from __future__ import annotations

import math

from rattangate.core.limits import MAX_STREAM_WAIT_S, WorkspaceLimit, WorkspaceLimits
from rattangate.core.messages import WorkspaceUsage
from rattangate.core.refusals import RefusalReason

LIMIT = WorkspaceLimit("festival", max_streams=70, tokens_per_s=7000.0)
STREAMS = WorkspaceLimit("festival", max_streams=70)


def _cluster(limit, instances=7):
    return {f"g{n}": WorkspaceLimits(instances, [limit]) for n in range(instances)}


def _exchange(cluster, now, partitioned=frozenset()):
    for name, local in cluster.items():
        for peer, limits in cluster.items():
            if peer != name and not {name, peer} & partitioned:
                limits.set_peer_usage(name, local.usage(now))


def _offer_load(cluster, targets, seconds, tokens=100, partitioned=frozenset()):
    """Offer far more load than the limit; return the requests admitted and the last denial."""
    admitted, denial = 0, None
    for step in range(int(seconds / 0.1)):
        now = 0.1 * step
        _exchange(cluster, now, partitioned)
        for name in targets:
            for _ in range(20):
                result = cluster[name].admit("festival", tokens, now)
                admitted += result is None
                denial = result or denial
    return admitted, denial


def test_streams_of_all_instances_stay_within_the_limit():
    cluster = _cluster(STREAMS)
    admitted, denial = _offer_load(cluster, cluster, 3.0)
    assert 60 <= admitted <= 70
    assert denial.reason is RefusalReason.STREAM_LIMIT
    assert denial.retry_after_s > 0


def test_one_instance_may_use_the_whole_limit_while_the_others_are_idle():
    cluster = _cluster(STREAMS)
    admitted, _ = _offer_load(cluster, ["g0"], 8.0)
    assert admitted == 70


def test_partitioned_instance_admits_only_its_share_of_the_streams():
    cluster = _cluster(STREAMS)
    assert _offer_load(cluster, ["g0"], 1.0, partitioned=frozenset(["g0"]))[0] == 10
    assert 50 <= _offer_load(cluster, ["g1", "g2"], 3.0, partitioned=frozenset(["g0"]))[0] <= 60


def test_share_of_a_lost_peer_stays_reserved():
    cluster = _cluster(STREAMS)
    _exchange(cluster, 0.0)
    for limits in list(cluster.values())[1:]:
        limits.drop_peer("g0")
    survivors = dict(list(cluster.items())[1:])
    assert _offer_load(survivors, survivors, 3.0)[0] <= 60


def test_released_stream_can_be_used_again():
    limits = WorkspaceLimits(1, [WorkspaceLimit("festival", max_streams=1)])
    assert limits.admit("festival", 1, 0.0) is None
    assert limits.admit("festival", 1, 1.0).retry_after_s == MAX_STREAM_WAIT_S
    for step in range(1, 100):
        limits.release("festival", 0.5 * step)
        assert limits.admit("festival", 1, 0.5 * step) is None
    assert 0.3 <= limits.admit("festival", 1, 50.0).retry_after_s <= 1.0


def test_rate_limit_holds_at_one_instance_and_over_all():
    for targets in (["g0"], ["g0", "g1", "g2", "g3", "g4", "g5", "g6"]):
        cluster = _cluster(WorkspaceLimit("festival", max_streams=10**6, tokens_per_s=7000.0))
        admitted, denial = _offer_load(cluster, targets, 20.0)
        assert 0.9 * 1400 <= admitted <= 1.2 * 1400
        assert denial.reason is RefusalReason.RATE_LIMIT


def test_partitioned_instance_admits_only_its_share_of_the_rate():
    cluster = _cluster(WorkspaceLimit("festival", max_streams=10**6, tokens_per_s=7000.0))
    admitted, _ = _offer_load(cluster, ["g0"], 20.0, partitioned=frozenset(["g0"]))
    assert admitted <= 1.2 * 200


def test_default_stream_limit_can_be_disabled():
    limits = WorkspaceLimits(63, default_max_streams=math.inf)
    for number in range(62):
        limits.set_peer_usage(f"g{number}", [WorkspaceUsage("", 40, 0)])
    assert [limits.admit("", 100, 1.0) for _ in range(1000)] == [None] * 1000
    bounded = WorkspaceLimits(63)
    for number in range(62):
        bounded.set_peer_usage(f"g{number}", [WorkspaceUsage("", 40, 0)])
    assert bounded.admit("", 100, 1.0) is not None
