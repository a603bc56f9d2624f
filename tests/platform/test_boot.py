"""The platform's settings file is decoded into `BootSettings`."""

from __future__ import annotations

import json

import pytest

from rattangate.platform.boot import BootError, decode_boot, read_boot

BOOT = {
    "node_name": "front-riverside-1",
    "ip": "10.1.0.30",
    "zone": "riverside",
    "listen": {"front": "10.1.0.30:8782", "ready": "10.1.0.30:8789"},
    "port_range": [7340, 7355],
    "platform": {"address": "10.200.1.7:8784"},
    "bounds": {"revoke_ms": 5000, "lease_ms": 3000, "retry_slack": 52, "new_field": True},
    "unknown": {"x": 1},
}


def test_fields_are_decoded_and_converted_to_seconds():
    boot = decode_boot(json.dumps(BOOT).encode(), "node.json")
    assert boot.instance == "front-riverside-1"
    assert boot.data_centre == "riverside"
    assert boot.caller_address == "10.1.0.30:8782"
    assert boot.first_free_port == 7340
    assert boot.bounds.revoke_s == 5.0
    assert boot.bounds.lease_s == 3.0
    assert boot.bounds.retry_slack == 52


def test_error_names_an_invalid_field():
    raw = json.dumps({**BOOT, "port_range": "7340"}).encode()
    with pytest.raises(BootError, match="port_range"):
        decode_boot(raw, "node.json")


def test_error_names_the_missing_environment_variable(monkeypatch):
    monkeypatch.delenv("RATTANGATE_BOOT", raising=False)
    with pytest.raises(BootError, match="RATTANGATE_BOOT"):
        read_boot()
