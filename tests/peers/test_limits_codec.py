"""Check that updates on suspects survive the way over the wire."""

from __future__ import annotations

from rattangate.core.messages import (
    EndpointLimit,
    EndpointRejection,
    Evidence,
    GoodRun,
    LimitsUpdate,
    Suspicion,
)
from rattangate.peers.limits_codec import (
    evidence_from_thrift,
    evidence_to_thrift,
    limits_from_thrift,
    limits_to_thrift,
)


def test_suspect_parts_and_good_runs_reach_peers():
    update = LimitsUpdate(
        suspicions=(
            Suspicion(b"d", "e1", 7, 0.25, 600.0, confirmed=True, parts=("m/a", "m/b")),
            Suspicion(b"e", "e1", 7, 0.5, 60.0, cleared=True),
        ),
        good_runs=(GoodRun("m/a", 1.5),),
    )
    assert limits_from_thrift(limits_to_thrift(update)) == update


def test_all_evidence_reaches_a_peer():
    suspicion = Suspicion(b"d", "e1", 7, 0.25, 600.0, confirmed=True, parts=("m/a",))
    evidence = Evidence((suspicion,), (GoodRun("m/a", 1.5),))
    assert evidence_from_thrift(evidence_to_thrift(evidence)) == evidence


def test_request_rates_of_endpoints_reach_peers():
    update = LimitsUpdate(
        endpoint_limits=(EndpointLimit("e1", 7, 1.9, 0.25), EndpointLimit("e2", 8, None, 0.0))
    )
    assert limits_from_thrift(limits_to_thrift(update)) == update


def test_brittle_services_and_rejections_reach_peers():
    update = LimitsUpdate(
        brittle_services=(EndpointLimit("llm", 0, 5.0, 0.25),),
        rejections=(EndpointRejection("e1", 7, "llm", 0.125),),
    )
    assert limits_from_thrift(limits_to_thrift(update)) == update
