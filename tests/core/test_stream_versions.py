"""A stream goes on at the software version that began it, whichever instance takes it up."""

from __future__ import annotations

import pytest

from rattangate.core import stream_versions
from rattangate.core.fleet import FleetView, FleetViewCfg, ListedEndpoint, ModelVersion
from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.intake import STREAM_NEWS_S
from rattangate.core.messages import (
    AttemptEnded,
    AttemptResult,
    Dispatch,
    EndpointListRead,
    EndpointState,
    EndpointStatus,
    FirstTokenSeen,
    LimitsUpdate,
    PeerUpdateReceived,
    Refuse,
    RequestArrived,
    SendPeerUpdate,
    StreamHistoryReceived,
    Suspicion,
    Tick,
    Verdict,
)
from rattangate.core.prefix import CacheScope
from rattangate.core.refusals import RefusalReason
from rattangate.core.routes import Service
from rattangate.core.stream_history import KnownBy, Software, StreamOrigin
from rattangate.core.stream_versions import (
    MAX_LIST_GAP_S,
    MAX_STREAMS_IN_HISTORY,
    STREAM_RETENTION_S,
    StreamVersions,
)

STREAM = b"stream-1"
SERVICE = "llm"
VERSIONS = {"a": "v1", "b": "v1.1", "c": "v1", "d": "v1.1"}


def status(name, version, state=EndpointState.LIVE, incarnation=1, service=SERVICE):
    return EndpointStatus(name, incarnation, "1", state, service, 64, software_version=version)


def read_list(versions, start, end):
    """Read the endpoint list as often as it takes to miss nothing."""
    listed = frozenset(versions._current[name] for name in versions._serving)
    at = start
    while at < end:
        versions.record_list_read(listed, at)
        at += MAX_LIST_GAP_S / 2
    versions.record_list_read(listed, end)


def known_gateway(versions=VERSIONS, now=STREAM_RETENTION_S):
    """Return a gateway that has known the list for as long as a stream may last."""
    gateway = make_gateway(versions)
    read_list(gateway.stream_versions, 0.0, now)
    return gateway


def take_up_after_news_time(gateway, now):
    """Return the dispatch of a stream without news."""
    assert gateway.handle(request(1, True), now) == []
    effects = gateway.handle(Tick(), now + STREAM_NEWS_S)
    (taken_up,) = (effect for effect in effects if isinstance(effect, Dispatch))
    return taken_up


def refusals(gateway, effects, now):
    effects = [*effects, *gateway.handle(Tick(), now + STREAM_NEWS_S)]
    assert not [effect for effect in effects if isinstance(effect, Dispatch)]
    return [effect.reason for effect in effects if isinstance(effect, Refuse)]


def request(req_id, takes_up, stream=STREAM, service=SERVICE):
    scope = CacheScope("", service, "m", "1")
    return RequestArrived(
        req_id,
        scope,
        (1,),
        900,
        20,
        req_id.to_bytes(16, "big"),
        0,
        1e9,
        max_runs=2,
        stream=stream,
        takes_up_stream=takes_up,
    )


def make_gateway(versions=VERSIONS):
    gateway = Gateway(GatewayCfg(128, 1.0), seed=1)
    for name, version in versions.items():
        gateway.handle(status(name, version), 0.0)
    return gateway


def updates_of(gateway, now):
    effects = gateway.handle(Tick(), now)
    return [effect for effect in effects if isinstance(effect, SendPeerUpdate)]


def deliver(gateway, update, now):
    message = PeerUpdateReceived("g1", 1, update.seq, update.placements, update.releases)
    return gateway.handle(message, now)


def test_an_instance_that_a_peer_told_goes_on_at_the_version_that_began_the_stream():
    first, second = make_gateway(), make_gateway()
    (begun,) = first.handle(request(1, False), 1.0)
    (update,) = updates_of(first, 1.1)
    deliver(second, update, 1.2)
    second.handle(status(begun.endpoint, VERSIONS[begun.endpoint], EndpointState.DOWN), 1.3)
    (taken_up,) = second.handle(request(1, True), 1.4)
    assert isinstance(taken_up, Dispatch)
    assert taken_up.endpoint != begun.endpoint
    assert VERSIONS[taken_up.endpoint] == VERSIONS[begun.endpoint]


def test_a_dispatch_tells_how_the_version_of_a_taken_up_stream_is_known():
    first, second = make_gateway(), make_gateway()
    first.handle(request(1, False), 1.0)
    (update,) = updates_of(first, 1.1)
    deliver(second, update, 1.2)
    (taken_up,) = second.handle(request(1, True), 1.5)
    assert taken_up.stream_origin.known_by is KnownBy.NEWS
    assert taken_up.stream_origin.age_s == pytest.approx(0.3)
    (new,) = second.handle(request(2, False, b"stream-2"), 1.6)
    assert new.stream_origin is None


def test_a_stream_whose_news_are_on_their_way_is_waited_for():
    first, second = make_gateway(), make_gateway()
    (begun,) = first.handle(request(1, False), 1.0)
    (update,) = updates_of(first, 1.1)
    assert second.handle(request(1, True), 1.15) == []
    deliver(second, update, 1.2)
    (taken_up,) = (e for e in second.handle(Tick(), 1.25) if isinstance(e, Dispatch))
    assert VERSIONS[taken_up.endpoint] == VERSIONS[begun.endpoint]


def test_a_stream_whose_news_are_on_their_way_does_not_go_by_the_only_software_listed_here():
    now = STREAM_RETENTION_S
    first, second = known_gateway({"b": "v2"}), known_gateway({"a": "v1"})
    (begun,) = first.handle(request(1, False), now)
    assert begun.endpoint == "b"
    (update,) = updates_of(first, now + 0.05)
    effects = second.handle(request(1, True), now + 0.1)
    deliver(second, update, now + 0.15)
    effects += second.handle(Tick(), now + 0.2)
    assert not [effect for effect in effects if isinstance(effect, Dispatch)]


def test_a_stream_that_no_instance_tells_of_is_refused_soon():
    gateway = make_gateway()
    assert gateway.handle(request(1, True), 1.0) == []
    (refusal,) = (e for e in gateway.handle(Tick(), 1.0 + STREAM_NEWS_S) if isinstance(e, Refuse))
    assert refusal.reason is RefusalReason.STREAM_UNKNOWN
    assert not gateway.scheduler.active_requests


def test_a_lost_answer_goes_on_at_the_same_version_after_its_first_token():
    gateway = make_gateway()
    (begun,) = gateway.handle(request(1, False), 1.0)
    gateway.handle(FirstTokenSeen(1, 1, None), 1.1)
    effects = gateway.handle(AttemptEnded(1, 1, AttemptResult.LOST, 2), 1.2)
    effects += gateway.handle(Tick(), 1.3)
    (again,) = (effect for effect in effects if isinstance(effect, Dispatch))
    assert VERSIONS[again.endpoint] == VERSIONS[begun.endpoint]


def test_a_lost_answer_goes_on_anywhere_before_its_first_token():
    gateway = make_gateway({"a": "v1", "b": "v1.1"})
    gateway.handle(request(1, False), 1.0)
    effects = gateway.handle(AttemptEnded(1, 1, AttemptResult.LOST), 1.2)
    effects += gateway.handle(Tick(), 1.3)
    assert [isinstance(effect, Dispatch) for effect in effects].count(True) == 1


def test_a_lost_answer_ends_at_once_if_no_endpoint_of_its_version_is_left():
    gateway = make_gateway({"a": "v1", "b": "v1.1"})
    gateway.handle(request(1, False), 1.0)
    gateway.handle(FirstTokenSeen(1, 1, None), 1.1)
    effects = gateway.handle(AttemptEnded(1, 1, AttemptResult.LOST, 2), 1.2)
    assert [isinstance(effect, Refuse) for effect in effects].count(True) == 1


def test_a_version_that_served_recently_counts_after_its_last_endpoint_has_left():
    versions = StreamVersions()
    versions.record_endpoint(status("a", "v1"), 0.0)
    versions.record_endpoint(status("b", "v1.1"), 1.0)
    versions.record_endpoint(status("a", "v1", EndpointState.DOWN), 5.0)
    read_list(versions, 0.0, 5.0 + STREAM_RETENTION_S)
    assert versions.origin_of(STREAM, SERVICE, 5.0 + STREAM_RETENTION_S) is None
    only = StreamOrigin(Software(SERVICE, "v1.1"), KnownBy.ONLY_SOFTWARE)
    assert versions.origin_of(STREAM, SERVICE, 5.1 + STREAM_RETENTION_S) == only


def listed_where_one_cannot_be_reached(now):
    """Return a gateway that knows the list well, where one of two endpoints is cut off from it."""
    gateway, view = make_gateway({}), FleetView(FleetViewCfg("dc", 128, 0.0))
    view.configure({SERVICE: Service(SERVICE, 100, 64, 12_800, ("m",))}, 0.0)
    listed = [
        ListedEndpoint(
            name, 1, SERVICE, f"{name}:1", "dc", 1, False, (ModelVersion("m", 1),), version
        )
        for name, version in (("a", "v1"), ("b", "v2"))
    ]
    for seen in (view.update_list(listed, 0.0), view.mark_gone("b", 1, 1.0)):
        for changed in seen:
            gateway.handle(changed, 1.0)
    for at in range(int(now) + 1):
        for changed in view.update_list(listed, float(at)):
            gateway.handle(changed, float(at))
        keys = frozenset((item.endpoint, item.incarnation) for item in listed)
        gateway.handle(EndpointListRead(keys), float(at))
    return gateway


def test_software_that_is_listed_but_out_of_reach_here_may_have_begun_a_stream():
    now = 2 * STREAM_RETENTION_S
    gateway = listed_where_one_cannot_be_reached(now)
    assert gateway.stream_versions.origin_of(STREAM, SERVICE, now) is None


def test_news_of_a_stream_at_an_endpoint_that_is_long_out_of_reach_here_tell_its_software():
    now = 2 * STREAM_RETENTION_S
    gateway = listed_where_one_cannot_be_reached(now)
    gateway.handle(status("c", "v2"), now)
    gateway.stream_versions.record_placement(STREAM, ("b", 1), now)
    origin = gateway.stream_versions.origin_of(STREAM, SERVICE, now)
    assert origin is not None and origin.software.version == "v2"


def test_old_streams_are_forgotten(monkeypatch):
    monkeypatch.setattr(stream_versions, "MAX_STREAMS", 2)
    versions = StreamVersions()
    for name, version in VERSIONS.items():
        versions.record_endpoint(status(name, version), 0.0)
    for number in range(3):
        versions.record_placement(bytes([number]), ("a", 1), float(number))
    found = [versions.origin_of(bytes([number]), SERVICE, 3.0) for number in range(3)]
    assert [origin and origin.software.version for origin in found] == [None, "v1", "v1"]
    versions.record_placement(b"new", ("b", 1), 3.0 + STREAM_RETENTION_S)
    assert versions.origin_of(bytes([1]), SERVICE, 3.0 + STREAM_RETENTION_S) is None


def test_a_stream_that_began_at_an_incarnation_not_yet_listed_here_waits_for_its_version():
    first, second = make_gateway({"a": "v1"}), make_gateway({"a": "v1", "b": "v1"})
    first.handle(status("a", "v1.1", incarnation=2), 0.5)
    (begun,) = first.handle(request(1, False), 1.0)
    assert begun.incarnation == 2
    (update,) = updates_of(first, 1.1)
    deliver(second, update, 1.2)
    assert second.handle(request(1, True), 1.3) == []
    second.handle(status("a", "v1.1", incarnation=2), 1.4)
    (taken_up,) = (e for e in second.handle(Tick(), 1.5) if isinstance(e, Dispatch))
    assert (taken_up.endpoint, taken_up.incarnation) == ("a", 2)


def test_versions_of_incarnations_are_forgotten_after_the_streams_that_they_began():
    versions = StreamVersions()
    versions.record_endpoint(status("a", "v1"), 0.0)
    versions.record_endpoint(status("a", "v1.1", incarnation=2), 1.0)
    versions.record_placement(STREAM, ("a", 1), 1.0)
    assert versions.origin_of(STREAM, SERVICE, 2.0).software.version == "v1"
    versions.record_endpoint(status("a", "v1.1", EndpointState.DOWN, 2), 2.0 + STREAM_RETENTION_S)
    assert versions.origin_of(STREAM, SERVICE, 2.0 + STREAM_RETENTION_S) is None
    versions.record_placement(STREAM, ("a", 2), 2.0 + STREAM_RETENTION_S)
    assert versions.origin_of(STREAM, SERVICE, 2.0 + STREAM_RETENTION_S).software.version == "v1.1"
    versions.record_endpoint(status("b", "v1"), 3.0 + 2 * STREAM_RETENTION_S)
    assert versions.origin_of(STREAM, SERVICE, 3.0 + 2 * STREAM_RETENTION_S) is None


def test_a_suspect_request_does_not_go_on_before_its_version_is_known():
    gateway = make_gateway()
    assert gateway.handle(request(1, True), 1.0) == []
    suspicion = Suspicion(request(1, True).digest, "a", 1, 0.1, 600.0)
    update = PeerUpdateReceived("g1", 1, 1, (), (), LimitsUpdate(suspicions=(suspicion,)))
    effects = gateway.handle(update, 1.1)
    effects += gateway.handle(Tick(), 1.2)
    assert not [effect for effect in effects if isinstance(effect, Dispatch)]


def test_a_request_quarantined_while_its_version_is_unknown_is_not_sent():
    gateway = make_gateway()
    assert gateway.handle(request(1, True), 1.0) == []
    digest = request(1, True).digest
    crashes = tuple(Suspicion(digest, name, 1, 0.1, 600.0, confirmed=True) for name in "abcd")
    update = PeerUpdateReceived("g1", 1, 1, (), (), LimitsUpdate(suspicions=crashes))
    effects = gateway.handle(update, 1.1)
    assert gateway.scheduler.suspects.quarantine.verdict_on(digest, 1.1) is Verdict.GUILTY
    begun = make_gateway()
    begun.handle(request(2, False), 1.0)
    (news,) = updates_of(begun, 1.1)
    message = PeerUpdateReceived("g2", 1, news.seq, news.placements, news.releases)
    effects += gateway.handle(message, 1.15)
    effects += gateway.handle(Tick(), 1.2)
    assert not [effect for effect in effects if isinstance(effect, Dispatch)]
    refusals = [effect.reason for effect in effects if isinstance(effect, Refuse)]
    assert refusals == [RefusalReason.QUARANTINED]


def test_an_instance_that_started_after_a_stream_began_does_not_go_by_the_only_version_that_it_knows():
    # The endpoint that began the stream restarted before this instance, which never heard of it.
    gateway = make_gateway({})
    for name in ("a", "b"):
        gateway.handle(status(name, "v1.1", incarnation=2), 10.0)
    effects = gateway.handle(request(1, True), 10.5)
    effects += gateway.handle(Tick(), 10.5 + STREAM_NEWS_S)
    assert not [effect for effect in effects if isinstance(effect, Dispatch)]


def test_a_stream_whose_route_has_moved_does_not_go_on_at_the_only_version_of_the_new_service():
    gateway = known_gateway({"a": "v1"})
    now = STREAM_RETENTION_S
    gateway.handle(status("x", "v2", service="other"), now)
    effects = gateway.handle(request(1, True, service="other"), now)
    assert refusals(gateway, effects, now) == [RefusalReason.STREAM_UNKNOWN]


def test_a_stream_that_began_at_another_service_is_refused_at_once_also_at_an_equal_version():
    gateway = known_gateway({"a": "v1"})
    now = STREAM_RETENTION_S
    gateway.handle(status("x", "v1", service="other"), now)
    gateway.handle(request(1, False), now)
    (refusal,) = gateway.handle(request(2, True, service="other"), now + 0.1)
    assert refusal.reason is RefusalReason.STREAM_ELSEWHERE


def test_an_unknown_stream_goes_on_at_the_only_software_that_served_for_as_long_as_it_may_last():
    gateway = known_gateway({"a": "v1", "c": "v1"})
    gateway.handle(EndpointStatus("p", 1, "", EndpointState.LIVE, "desk"), 0.0)
    taken_up = take_up_after_news_time(gateway, STREAM_RETENTION_S)
    assert taken_up.stream_origin == StreamOrigin(Software(SERVICE, "v1"), KnownBy.ONLY_SOFTWARE)


def test_an_unknown_stream_is_refused_if_the_list_could_not_be_read_for_a_while():
    gateway = known_gateway({"a": "v1"})
    now = STREAM_RETENTION_S + MAX_LIST_GAP_S + 0.1
    assert refusals(gateway, gateway.handle(request(1, True), now), now) == [
        RefusalReason.STREAM_UNKNOWN
    ]
    gateway.handle(EndpointListRead(), now + 1.0)
    now += 2.0
    assert refusals(gateway, gateway.handle(request(2, True), now), now) == [
        RefusalReason.STREAM_UNKNOWN
    ]


def test_an_instance_that_has_just_started_is_told_of_the_streams_that_began_before():
    first, second = known_gateway(), make_gateway({"b": "v1.1", "d": "v1.1"})
    now = STREAM_RETENTION_S
    (begun,) = first.handle(request(1, False), now)
    version = VERSIONS[begun.endpoint]
    for name in ("b", "d", "a"):
        second.handle(status(name, version), now)
    history = first.stream_versions.history(now + 1.0)
    second.handle(StreamHistoryReceived(history), now + 1.0)
    (taken_up,) = second.handle(request(1, True), now + 2.0)
    assert taken_up.stream_origin == StreamOrigin(Software(SERVICE, version), KnownBy.NEWS, 2.0)


def test_an_instance_that_has_just_started_is_told_of_the_software_that_served_before():
    told = known_gateway({"a": "v1", "b": "v1"})
    young = make_gateway({"b": "v1"})
    now = STREAM_RETENTION_S
    young.handle(StreamHistoryReceived(told.stream_versions.history(now)), now)
    taken_up = take_up_after_news_time(young, now + 0.1)
    assert taken_up.stream_origin.known_by is KnownBy.ONLY_SOFTWARE
    told = known_gateway({"a": "v1", "b": "v2"})
    told.handle(status("a", "v1", EndpointState.DOWN), now)
    young = make_gateway({"b": "v2"})
    young.handle(StreamHistoryReceived(told.stream_versions.history(now + 1.0)), now + 1.0)
    effects = young.handle(request(1, True), now + 1.1)
    assert refusals(young, effects, now + 1.1) == [RefusalReason.STREAM_UNKNOWN]


def test_of_two_records_of_a_stream_the_newer_one_holds():
    older, newer = StreamVersions(), StreamVersions()
    for versions in (older, newer):
        versions.record_endpoint(status("a", "v1"), 0.0)
        versions.record_endpoint(status("b", "v1.1"), 0.0)
    older.record_placement(STREAM, ("a", 1), 1.0)
    newer.record_placement(STREAM, ("b", 1), 2.0)
    newer.merge(older.history(3.0), 3.0)
    assert newer.origin_of(STREAM, SERVICE, 3.0).software.version == "v1.1"
    older.merge(newer.history(3.0), 3.0)
    assert older.origin_of(STREAM, SERVICE, 3.0).software.version == "v1.1"


def test_instances_that_read_no_list_do_not_keep_each_other_sure_of_the_only_software():
    pair = known_gateway({"a": "v1"}), known_gateway({"a": "v1"})
    now = STREAM_RETENTION_S
    while now < STREAM_RETENTION_S + 2 * MAX_LIST_GAP_S:
        now += MAX_LIST_GAP_S / 4
        for told, teller in (pair, pair[::-1]):
            told.handle(StreamHistoryReceived(teller.stream_versions.history(now)), now)
    for gateway in pair:
        assert gateway.stream_versions.origin_of(STREAM, SERVICE, now) is None


def test_a_history_holds_the_newest_streams(monkeypatch):
    monkeypatch.setattr(stream_versions, "MAX_STREAMS_IN_HISTORY", 2)
    assert MAX_STREAMS_IN_HISTORY > 2
    versions = StreamVersions()
    versions.record_endpoint(status("a", "v1"), 0.0)
    for number in range(3):
        versions.record_placement(bytes([number]), ("a", 1), float(number))
    history = versions.history(3.0)
    assert [begun.stream for begun in history.streams] == [b"\x02", b"\x01"]
    assert history.known_s == 0.0
