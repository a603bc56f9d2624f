"""Entries of the operator and the replicas are decoded, unusable endpoint entries are ignored."""

from __future__ import annotations

import json

import msgspec
import pytest

from rattangate.core.fleet import ListedEndpoint
from rattangate.core.routes import RouteKind
from rattangate.platform.operator import (
    MalformedEntry,
    decode_config,
    decode_endpoint,
    encode_load_order,
)
from tests.platform.entries import CONFIG, ENDPOINT_ENTRY


def test_configuration_is_decoded():
    config = decode_config(json.dumps(CONFIG).encode())
    assert config.version == 7
    route = config.find_route("jepu9.example", "/lepu270/2f")
    assert route is not None
    assert route.kind is RouteKind.STREAM
    assert (route.timeout_s, route.repeatable) == (5.0, False)
    assert [share.service for share in route.shares] == ["huvo11a", "kafi81c"]
    assert config.services["huvo11a"].models == ("daka510000",)
    assert config.services["wuno96b"].cache_store_address == "172.20.0.2:8781"
    assert config.services["wuno96b"].cache_tokens == 548047
    workspace = config.find_workspace("ctnfzs989anu6wsjnban")
    assert workspace is not None
    assert (workspace.name, workspace.is_isolated) == ("sese880", True)


def test_route_with_the_longest_prefix_wins():
    config = decode_config(json.dumps(CONFIG).encode())
    route = config.find_route("JEPU9.example", "/lepu270/ny95/x")
    assert route is not None
    assert route.name == "r-longer"
    assert config.find_route("jepu9.example", "/lepu27/") is None


def test_traffic_split_follows_the_weights_and_is_stable_per_attempt():
    config = decode_config(json.dumps(CONFIG).encode())
    route = config.find_route("jepu9.example", "/lepu270/2f")
    assert route is not None
    picked = [route.pick_service(f"attempt-{number}") for number in range(1000)]
    assert 50 < picked.count("kafi81c") < 160
    assert picked == [route.pick_service(f"attempt-{number}") for number in range(1000)]


def test_endpoint_entry_is_decoded():
    listed = decode_endpoint("i-7f3a", json.dumps(ENDPOINT_ENTRY).encode())
    assert isinstance(listed, ListedEndpoint)
    assert (listed.incarnation, listed.is_leaving) == (1785950657011, False)
    assert listed.version_of("daka510000") == 3
    draining = decode_endpoint(
        "i-7f3a", json.dumps({**ENDPOINT_ENTRY, "state": "draining"}).encode()
    )
    assert isinstance(draining, ListedEndpoint)
    assert draining.is_leaving


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"slots": "many"},
        {"slots": 0},
        {"address": "nowhere"},
        {"born": 1.5},
        {"born": -1},
        {"born": 2**63},
        {"slots": 10**30},
        {"models": [{"name": "daka510000", "version": 2**64}]},
        {"address": "10.1.64.42:0"},
        {"address": "10.1.64.42:65536"},
        {"address": "10.1.64.42:" + "9" * 5000},
        {"address": "10.1.64.42:\u00b2"},
        {"address": "desk host:80"},
        {"models": 7},
        {"service": None},
    ],
)
def test_endpoint_entry_with_an_invalid_field_is_ignored(change):
    entry = decode_endpoint("i-7f3a", json.dumps({**ENDPOINT_ENTRY, **change}).encode())
    assert isinstance(entry, MalformedEntry)
    assert entry.reason


def test_endpoint_entry_that_is_not_a_json_object_is_ignored():
    assert isinstance(decode_endpoint("i-7f3a", b"\xff\xfe{"), MalformedEntry)
    assert isinstance(decode_endpoint("i-7f3a", b"[]"), MalformedEntry)


@pytest.mark.parametrize("name", ["a\r\nX-Hold: 1", "\u00e9", " ", ""])
def test_endpoint_entry_whose_name_cannot_stand_in_a_header_is_ignored(name):
    assert isinstance(decode_endpoint(name, json.dumps(ENDPOINT_ENTRY).encode()), MalformedEntry)


def test_load_order_carries_holder_fence_and_expected_order_count():
    order = msgspec.json.decode(encode_load_order("m", 4, "entry-1", 9, 2))
    assert order == {
        "op": "version",
        "model": "m",
        "version": 4,
        "mode": "block",
        "holder": "entry-1",
        "fence": 9,
        "expected": 2,
    }
