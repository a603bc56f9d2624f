"""Tests that new settings reach every component of an instance without a restart."""

from __future__ import annotations

import pytest
import trio

from rattangate.auth import hash_key
from rattangate.config.load import settings_from_sources
from rattangate.config.tree import Source
from rattangate.core.messages import EndpointState, EndpointStatus, RequestArrived
from rattangate.core.prefix import CacheScope
from rattangate.entry import EntryInstance
from rattangate.log_events import LineWriter
from tests.config.test_load import BASE, HASH_A


def load(text: str):
    """Build settings from the text of a base file."""
    return settings_from_sources(Source("base.yaml", text))


@pytest.fixture
def entry() -> EntryInstance:
    """Return an instance that was created but not started."""
    return EntryInstance(load(BASE), "entry-1", b"secret", LineWriter(fd=1))


def test_keys_models_and_recompute_weight_are_replaced(entry: EntryInstance):
    text = BASE.replace(HASH_A, hash_key("new")).replace("name: small", "name: large")
    text = text.replace("serves: small", "serves: large")
    entry.reconfigure(load(text.replace("placement:", "placement:\n  recompute_weight: 9")))
    assert entry.active_settings.keyring.workspace("Bearer new").name == "blue"
    assert set(entry.active_settings.models) == {"large"}
    assert entry.driver.gateway.cfg.recompute_weight == 9.0


def test_timeout_of_the_first_token_is_replaced(entry: EntryInstance):
    entry.reconfigure(load(BASE.replace("1500ms", "7s")))
    scope = CacheScope("blue", "small", "", "v1")
    status = EndpointStatus("engine-1", 1, "v1", EndpointState.LIVE)
    entry.driver.gateway.handle(status, 9.0)
    entry.driver.gateway.handle(RequestArrived(1, scope, (), 5, 5, b"d", 0, 100.0), 10.0)
    assert entry.driver.gateway.scheduler.active_requests[1].deadline == 17.0


def test_limits_of_callers_and_workspaces_are_replaced(entry: EntryInstance):
    text = BASE.replace("64KiB", "1MB").replace(HASH_A, f"{HASH_A}\n    share: 3.0")
    entry.reconfigure(load(text))
    assert entry._caller_app.config["MAX_CONTENT_LENGTH"] == 1_000_000
    assert entry.driver.gateway.scheduler.limits.shares() == {"blue": 3.0}


def test_endpoint_with_new_address_gets_new_client_and_old_one_is_kept(entry: EntryInstance):
    async def main() -> None:
        old_client = object()
        entry.clients["engine-1"] = old_client
        entry.reconfigure(load(BASE.replace("9004", "9104")))
        assert entry.clients["engine-1"] is not old_client
        assert old_client in entry.clients.values()

    trio.run(main)


def test_piece_size_does_not_change_without_restart(entry: EntryInstance):
    entry.reconfigure(load(BASE.replace("placement:", "placement:\n  piece_tokens: 50")))
    assert entry.active_settings.settings.placement.piece_tokens == 4000


def test_peers_are_added_and_removed(entry: EntryInstance):
    peer_settings = (
        "  - name: entry-2\n    data_centre: east\n    caller_address: 127.0.0.1:9011\n"
        "    admin_address: 127.0.0.1:9012\n    peer_address: 127.0.0.1:9013\nmodels:"
    )
    text = f"{BASE}peers:\n  secret_hash: {hash_key('secret')}\n".replace("models:", peer_settings)
    entry.reconfigure(load(text))
    assert set(entry.peer_registry.peers) == {"entry-2"}
    entry.reconfigure(load(BASE))
    assert entry.peer_registry.peers == {}
