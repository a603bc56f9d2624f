"""The operator's and the replicas' entries are decoded, and those of other writers are left out."""

from __future__ import annotations

import json

import msgspec
import pytest

from rattangate.core.routes import RouteKind
from rattangate.platform.operator import decode_config, decode_endpoint, encode_order
from tests.platform.entries import CONFIG, ENTRY


def test_configuration_is_decoded():
    config = decode_config(json.dumps(CONFIG).encode())
    assert config.version == 7
    digest = config.find_route("jepu9.example", "/lepu270/2f")
    assert digest is not None
    assert digest.kind is RouteKind.STREAM
    assert (digest.timeout_s, digest.repeatable) == (5.0, False)
    assert [share.service for share in digest.shares] == ["huvo11a", "kafi81c"]
    assert config.services["huvo11a"].models == ("daka510000",)
    assert config.services["wuno96b"].keeper_address == "172.20.0.2:8781"
    assert config.services["wuno96b"].cache_tokens == 548047
    workspace = config.find_workspace("ctnfzs989anu6wsjnban")
    assert workspace is not None
    assert (workspace.name, workspace.is_isolated) == ("sese880", True)


def test_longest_prefix_wins():
    config = decode_config(json.dumps(CONFIG).encode())
    found = config.find_route("JEPU9.example", "/lepu270/ny95/x")
    assert found is not None
    assert found.name == "r-longer"
    assert config.find_route("jepu9.example", "/lepu27/") is None


def test_split_is_even_by_attempt_and_stable():
    config = decode_config(json.dumps(CONFIG).encode())
    route = config.find_route("jepu9.example", "/lepu270/2f")
    assert route is not None
    picked = [route.pick_service(f"attempt-{number}") for number in range(1000)]
    assert 50 < picked.count("kafi81c") < 160
    assert picked == [route.pick_service(f"attempt-{number}") for number in range(1000)]


def test_entry_of_an_engine():
    listed = decode_endpoint("i-7f3a", json.dumps(ENTRY).encode())
    assert listed is not None
    assert (listed.incarnation, listed.is_leaving) == (1785950657011, False)
    assert listed.version_of("daka510000") == 3
    draining = decode_endpoint("i-7f3a", json.dumps({**ENTRY, "state": "draining"}).encode())
    assert draining is not None
    assert draining.is_leaving


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"slots": "many"},
        {"slots": 0},
        {"address": "nowhere"},
        {"born": 1.5},
        {"models": 7},
        {"service": None},
    ],
)
def test_entry_of_another_writer_names_no_endpoint(change):
    assert decode_endpoint("i-7f3a", json.dumps({**ENTRY, **change}).encode()) is None


def test_bytes_that_are_no_entry():
    assert decode_endpoint("i-7f3a", b"\xff\xfe{") is None
    assert decode_endpoint("i-7f3a", b"[]") is None


def test_order_names_holder_fence_and_expected_count():
    order = msgspec.json.decode(encode_order("m", 4, "entry-1", 9, 2))
    assert order == {
        "op": "version",
        "model": "m",
        "version": 4,
        "mode": "block",
        "holder": "entry-1",
        "fence": 9,
        "expected": 2,
    }
