"""The fleet view merges the platform's list with first-hand observations of endpoints."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rattangate.core.fleet import (
    LEAVING_DOUBT_S,
    LEAVING_MEMORY_S,
    FleetView,
    FleetViewCfg,
    ListedEndpoint,
    ModelVersion,
    WeightsUpdate,
)
from rattangate.core.messages import EndpointState
from rattangate.core.routes import Service

ENGINE = ListedEndpoint(
    "e1", 100, "llm", "10.0.0.1:80", "riverside", 64, False, (ModelVersion("m", 1),)
)
SERVICE_REPLICA = ListedEndpoint("p1", 100, "desk", "10.0.0.2:80", "uptown", 6, False, ())
SERVICES = {
    "llm": Service("llm", 100, 64, 12_800, ("m",)),
    "desk": Service("desk", 100, 6, 0, ()),
    "keep": Service("keep", 100, 1, 25_600, (), "10.0.0.9:80", "uptown"),
}


def make_view() -> FleetView:
    """Make a view with a model service, a service without models and a cache store."""
    view = FleetView(
        FleetViewCfg(
            "riverside", 128, cross_data_centre_cost_s=0.01, cross_data_centre_service_cost_s=0.005
        )
    )
    view.configure(SERVICES, 0.0)
    return view


def test_engines_and_service_replicas_are_described():
    view = make_view()
    seen = {item.endpoint: item for item in view.update_list([ENGINE, SERVICE_REPLICA], 0.0)}
    assert (seen["e1"].slots, seen["e1"].cache_blocks, seen["e1"].network_cost_s) == (1, 100, 0.0)
    assert (seen["p1"].slots, seen["p1"].network_cost_s) == (6, 0.005)
    assert seen["e1"].weights_version == "1"


@pytest.mark.parametrize("models", [(), (ModelVersion("other", 4),)])
def test_an_engine_whose_entry_lacks_the_model_of_its_service_is_down_until_it_names_it(models):
    view = make_view()
    view.update_list([ENGINE], 0.0)
    (status,) = view.update_list([replace(ENGINE, models=models)], 1.0)
    assert (status.state, status.weights_version) == (EndpointState.DOWN, "")
    (status,) = view.update_list([ENGINE], 2.0)
    assert (status.state, status.weights_version) == (EndpointState.LIVE, "1")


def test_an_engine_of_several_models_is_described_by_the_model_of_its_service():
    view = make_view()
    models = (ModelVersion("other", 4), ModelVersion("m", 2))
    (status,) = view.update_list([replace(ENGINE, models=models)], 0.0)
    assert (status.state, status.weights_version) == (EndpointState.LIVE, "2")


def test_new_weights_of_one_model_keep_an_engine_of_several_models_up():
    view = make_view()
    models = (ModelVersion("m", 2), ModelVersion("other", 4))
    view.update_list([replace(ENGINE, models=models)], 0.0)
    assert view.update_weights(WeightsUpdate("e1", 100, "other", 5), 1.0) == []
    (status,) = view.update_weights(WeightsUpdate("e1", 100, "m", 3), 2.0)
    assert (status.state, status.weights_version) == (EndpointState.LIVE, "3")
    assert view.endpoints["e1"].version_of("other") == 5


def test_an_endpoint_that_left_is_leaving_if_it_is_listed_again_until_that_is_forgotten():
    view = make_view()
    view.update_list([replace(ENGINE, is_leaving=True)], 0.0)
    view.update_list([], 1.0)
    (status,) = view.update_list([ENGINE], 2.0)
    assert status.state is EndpointState.LEAVING
    (reborn,) = view.update_list([replace(ENGINE, incarnation=101)], 3.0)
    assert reborn.state is EndpointState.LIVE
    view.tick(2.0 + LEAVING_MEMORY_S)
    (status,) = view.update_list([ENGINE], 4.0 + LEAVING_MEMORY_S)
    assert status.state is EndpointState.LIVE


def test_an_endpoint_that_says_that_it_leaves_while_it_is_not_listed_is_leaving_when_listed():
    view = make_view()
    assert view.mark_leaving("e1", 100, 0.0) == []
    (status,) = view.update_list([ENGINE], 1.0)
    assert status.state is EndpointState.LEAVING


def test_only_changes_are_reported():
    view = make_view()
    view.update_list([ENGINE], 0.0)
    assert view.update_list([ENGINE], 1.0) == []


def test_cache_server_is_reported_from_the_configuration():
    view = FleetView(FleetViewCfg("riverside", 128, 0.01))
    (cache_server,) = view.configure(SERVICES, 0.0)
    assert cache_server.state is EndpointState.CACHE_STORE
    assert cache_server.cache_blocks == 200


def test_endpoint_missing_from_the_list_is_reported_down_once():
    view = make_view()
    view.update_list([ENGINE], 0.0)
    (gone,) = view.update_list([], 1.0)
    assert gone.state is EndpointState.DOWN
    assert view.update_list([], 2.0) == []


def test_leaving_is_final_for_an_incarnation():
    view = make_view()
    view.update_list([replace(ENGINE, is_leaving=True)], 0.0)
    assert view.update_list([ENGINE], 1.0) == []
    (restarted,) = view.update_list([replace(ENGINE, incarnation=200)], 2.0)
    assert restarted.state is EndpointState.LIVE


def test_engine_is_suspended_while_loading_until_its_version_is_observed():
    view = make_view()
    view.update_list([ENGINE], 0.0)
    (loading,) = view.update_weights(WeightsUpdate("e1", 100, "m", 0, loading_s=4.0), 1.0)
    assert loading.state is EndpointState.SUSPENDED
    assert view.update_list([ENGINE], 2.0) == []
    (loaded,) = view.update_weights(WeightsUpdate("e1", 100, "m", 2), 3.0)
    assert (loaded.state, loaded.weights_version) == (EndpointState.LIVE, "2")
    assert view.update_list([ENGINE], 3.5) == []


def test_load_without_an_observed_end_expires_at_its_deadline():
    view = make_view()
    view.update_list([ENGINE], 0.0)
    view.update_weights(WeightsUpdate("e1", 100, "m", 0, loading_s=4.0), 1.0)
    assert view.tick(4.9) == []
    (back,) = view.tick(5.0)
    assert back.state is EndpointState.LIVE


def test_weights_of_an_earlier_incarnation_are_ignored():
    view = make_view()
    view.update_list([replace(ENGINE, incarnation=200)], 0.0)
    assert view.update_weights(WeightsUpdate("e1", 100, "m", 9), 1.0) == []


def test_unreachable_endpoint_is_suspended_and_down_once_no_connection_opens_until_reachable():
    view = make_view()
    view.update_list([ENGINE], 0.0)
    (in_doubt,) = view.set_reachable("e1", 100, False, 1.0)
    assert in_doubt.state is EndpointState.SUSPENDED
    (down,) = view.mark_gone("e1", 100, 1.5)
    assert down.state is EndpointState.DOWN
    (back,) = view.set_reachable("e1", 100, True, 2.0)
    assert back.state is EndpointState.LIVE


def test_endpoint_that_a_peer_reaches_is_live_but_not_reachable_itself():
    view = make_view()
    view.update_list([ENGINE], 0.0)
    view.set_reachable("e1", 100, False, 1.0)
    view.mark_gone("e1", 100, 1.1)
    (live,) = view.set_via_peer("e1", 100, True, 1.2)
    assert live.state is EndpointState.LIVE
    assert not view.is_reachable(ENGINE)
    (lost,) = view.set_via_peer("e1", 100, False, 1.3)
    assert lost.state is EndpointState.SUSPENDED
    (live,) = view.set_reachable("e1", 100, True, 1.4)
    assert live.state is EndpointState.LIVE
    assert view.is_reachable(ENGINE)


def test_instance_is_cut_off_when_it_reaches_less_than_half_of_the_endpoints():
    view = make_view()
    view.update_list([ENGINE, SERVICE_REPLICA], 0.0)
    view.set_reachable("e1", 100, False, 1.0)
    assert not view.is_cut_off
    view.set_reachable("p1", 100, False, 1.0)
    assert view.is_cut_off


def test_rest_that_an_endpoint_asked_for_runs_out():
    view = make_view()
    view.update_list([ENGINE], 0.0)
    view.suspend_until("e1", 100, 3.0, 1.0)
    assert view.rest_s("e1", 100, 1.0) == 2.0
    assert view.rest_s("e1", 100, 4.0) == 0.0
    assert view.rest_s("e2", 100, 1.0) == 0.0


def test_engine_with_weights_older_than_the_minimum_is_suspended():
    view = make_view()
    view.update_list([ENGINE, SERVICE_REPLICA], 0.0)
    assert view.set_min_versions({"m": 1}, 1.0) == []
    (outdated,) = view.set_min_versions({"m": 2}, 2.0)
    assert (outdated.endpoint, outdated.state) == ("e1", EndpointState.SUSPENDED)
    (updated,) = view.update_weights(WeightsUpdate("e1", 100, "m", 2), 3.0)
    assert (updated.state, updated.weights_version) == (EndpointState.LIVE, "2")


RESTARTED = replace(ENGINE, incarnation=ENGINE.incarnation + 1)


def leaving_view() -> FleetView:
    """Return a view in which the engine said at 1.0 that it is leaving."""
    view = make_view()
    view.update_list([ENGINE], 0.0)
    view.mark_leaving("e1", ENGINE.incarnation, 1.0)
    return view


def test_an_incarnation_listed_by_a_read_from_before_a_leaving_answer_waits_for_the_next_read():
    view = leaving_view()
    (restarted,) = view.update_list([RESTARTED], 1.2, asked_at=0.9)
    assert restarted.state is EndpointState.SUSPENDED
    (restarted,) = view.update_list([RESTARTED], 1.5, asked_at=1.3)
    assert restarted.state is EndpointState.LIVE


def test_an_incarnation_listed_by_a_read_from_after_a_leaving_answer_is_live():
    (restarted,) = leaving_view().update_list([RESTARTED], 1.5, asked_at=1.1)
    assert restarted.state is EndpointState.LIVE


def test_an_incarnation_that_may_have_said_it_leaves_does_not_wait_for_a_read_without_end():
    view = leaving_view()
    view.update_list([RESTARTED], 1.2, asked_at=0.9)
    assert view.tick(0.9 + LEAVING_DOUBT_S) == []
    (restarted,) = view.tick(1.1 + LEAVING_DOUBT_S)
    assert restarted.state is EndpointState.LIVE


def test_a_repeated_leaving_mark_of_an_earlier_incarnation_puts_no_doubt_on_a_later_one():
    view = leaving_view()
    view.update_list([RESTARTED], 1.5, asked_at=1.1)
    view.mark_leaving("e1", ENGINE.incarnation, 2.0)
    assert view.update_list([RESTARTED], 2.1, asked_at=1.9) == []


def test_entries_of_services_that_were_never_configured_are_no_endpoints():
    view = make_view()
    foreign = replace(ENGINE, endpoint="g1", service="guest")
    assert [item.endpoint for item in view.update_list([ENGINE, foreign], 0.0)] == ["e1"]
    view.set_reachable("e1", 100, False, 1.0)
    assert view.is_cut_off
    (status,) = view.configure({**SERVICES, "guest": SERVICES["llm"]}, 2.0)
    assert (status.endpoint, status.state) == ("g1", EndpointState.LIVE)


def test_endpoints_of_a_service_that_the_configuration_names_no_more_stay():
    view = make_view()
    view.update_list([ENGINE, SERVICE_REPLICA], 0.0)
    view.configure({"desk": SERVICES["desk"]}, 1.0)
    view.update_list([ENGINE, SERVICE_REPLICA], 2.0)
    assert set(view.endpoints) == {"e1", "p1"}
    assert [item.endpoint for item in view.replicas_of("m")] == ["e1"]


def test_an_unconfigured_entry_that_left_is_leaving_once_its_service_is_configured():
    view = make_view()
    foreign = replace(ENGINE, endpoint="g1", service="guest")
    view.update_list([replace(foreign, is_leaving=True)], 0.0)
    view.update_list([foreign], 1.0)
    (status,) = view.configure({**SERVICES, "guest": SERVICES["llm"]}, 2.0)
    assert status.state is EndpointState.LEAVING
