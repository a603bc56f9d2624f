"""Store entries in the format that the operator and the replicas write."""

from __future__ import annotations

from typing import Any

CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-split",
            "host": "jepu9.example",
            "path_prefix": "/lepu270/",
            "kind": "stream",
            "timeout_ms": 5000,
            "target_latency_ms": 1000,
            "priority": 1,
            "traffic_split": [
                {"service": "huvo11a", "weight": 90},
                {"service": "kafi81c", "weight": 10},
            ],
            "max_attempts": 1,
            "public": False,
            "sticky": True,
            "can_resume": False,
            "gap_aim_ms": 600,
        },
        {
            "name": "r-longer",
            "host": "jepu9.example",
            "path_prefix": "/lepu270/ny95/",
            "kind": "idempotent",
            "timeout_ms": 1000,
            "service": "kafi81c",
            "max_attempts": 2,
        },
    ],
    "services": [
        {
            "name": "huvo11a",
            "health_path": "/healthz",
            "max_conns": 360,
            "engine": {"slots": 64, "kv_capacity": 92928, "models": [{"name": "daka510000"}]},
        },
        {"name": "kafi81c", "health_path": "/healthz", "max_conns": 96},
        {
            "name": "wuno96b",
            "store_addr": "172.20.0.2:8781",
            "zone": "fairgrounds",
            "kv_capacity": 548047,
        },
    ],
    "limits": {"header_bytes": 16384, "max_body_bytes": 4194304},
    "tenants": [{"name": "sese880", "api_keys": ["ctnfzs989anu6wsjnban"], "isolated": True}],
}

ENDPOINT_ENTRY: dict[str, Any] = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "riverside",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "born": 1785950657011,
    "models": [{"name": "daka510000", "version": 3, "adapters": []}],
    "seq": 4,
}
