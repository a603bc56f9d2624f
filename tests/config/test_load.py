"""Tests of merging base and overlay, and of the diagnostics of invalid settings."""

from __future__ import annotations

from pathlib import Path

import pytest

from rattangate.config.diagnostics import ConfigError
from rattangate.config.load import load_settings, settings_from_sources
from rattangate.config.model import EndpointKind
from rattangate.config.tree import Source

ROOT = Path(__file__).parents[2]
HASH_A = "a" * 64

BASE = f"""\
deployment: test
platform:
  address: 127.0.0.1:9000
data_centres:
  - name: east
instances:
  - name: entry-1
    data_centre: east
    caller_address: 127.0.0.1:9001
    admin_address: 127.0.0.1:9002
    peer_address: 127.0.0.1:9003
models:
  - name: small
    weights_version: v1
endpoints:
  - name: engine-1
    kind: engine
    address: 127.0.0.1:9004
    data_centre: east
    serves: small
    checks_orders: true
workspaces:
  - name: blue
    key_hashes:
      - {HASH_A}
placement:
  first_token: 1500ms
limits:
  max_body: 64KiB
"""

SECOND_ENGINE = """\
  - name: engine-2
    kind: engine
    address: 127.0.0.1:9009
    data_centre: east
    serves: small
    checks_orders: false
"""


def load(base: str = BASE, overlay: str | None = None):
    """Build settings from texts."""
    overlay_source = Source("site.yaml", overlay) if overlay is not None else None
    return settings_from_sources(Source("base.yaml", base), overlay_source)


def diagnostics_of(base: str = BASE, overlay: str | None = None) -> list[tuple[str, int, str]]:
    """Load invalid settings; return file, line and key of each diagnostic."""
    with pytest.raises(ConfigError) as caught:
        load(base, overlay)
    assert all(diagnostic.problem and diagnostic.hint for diagnostic in caught.value.diagnostics)
    return [
        (diagnostic.file, diagnostic.line, diagnostic.key)
        for diagnostic in caught.value.diagnostics
    ]


def test_units_are_converted_to_seconds_and_bytes():
    settings = load()
    assert settings.placement.first_token_s == 1.5
    assert settings.limits.max_body_bytes == 65_536
    assert settings.endpoints[0].kind is EndpointKind.ENGINE


def test_overlay_merges_mappings_and_lists_and_removes_values():
    base = BASE.replace("workspaces:", SECOND_ENGINE + "workspaces:")
    overlay = """\
site: east
endpoints:
  - name: engine-1
    address: 127.0.0.1:9104
  - name: engine-2
    remove: true
  - name: engine-3
    kind: engine
    address: 127.0.0.1:9105
    data_centre: east
    serves: small
    checks_orders: false
placement:
  recompute_weight: 2.5
  first_token: null
"""
    settings = load(base, overlay)
    assert [e.address for e in settings.endpoints] == ["127.0.0.1:9104", "127.0.0.1:9105"]
    assert settings.endpoints[0].checks_orders
    assert settings.placement.recompute_weight == 2.5
    assert settings.placement.first_token_s == 10.0
    assert [e.name for e in settings.endpoints] == ["engine-1", "engine-3"]


def test_all_diagnostics_are_reported_at_once_with_file_line_and_key():
    base = BASE.replace("checks_orders: true", "check_orders: true")
    base = base.replace("1500ms", "1500").replace("9003", "9002")
    overlay = "site: west\nendpoints:\n  - name: engine-9\n    remove: true\n"
    assert diagnostics_of(base, overlay) == [
        ("base.yaml", 11, "instances[entry-1].peer_address"),
        ("base.yaml", 16, "endpoints[engine-1].checks_orders"),
        ("base.yaml", 21, "endpoints[engine-1].check_orders"),
        ("base.yaml", 27, "placement.first_token"),
        ("site.yaml", 1, "site"),
        ("site.yaml", 3, "endpoints[engine-9]"),
    ]


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("127.0.0.1:9000", "localhost:9000", "platform.address"),
        ("127.0.0.1:9000", "127.0.0.1", "platform.address"),
        ("kind: engine", "kind: robot", "endpoints[engine-1].kind"),
        ("serves: small", "serves: large", "endpoints[engine-1].serves"),
        ("data_centre: east\n    serves", "data_centre: w\n    serves", "endpoints[engine-1]"),
        ("weights_version: v1", "weights_version: 1", "models[small].weights_version"),
        ("weights_version: v1", "weights_version: v1\n    min_replicas: 2", "models[small]"),
        (HASH_A, "in-plain-text", "workspaces[blue].key_hashes"),
        (f"      - {HASH_A}", "      []", "workspaces[blue].key_hashes"),
        (HASH_A, f"{HASH_A}\n      - {HASH_A}", "workspaces[blue].key_hashes"),
        (HASH_A, f"{HASH_A}\n    share: 0", "workspaces[blue].share"),
        ("64KiB", "64 parsecs", "limits.max_body"),
        ("  first_token", "  first_token: 2s\n  first_token", "placement.first_token"),
        ("limits:\n", "routes:\n  - path_prefix: /x\n    service: x\nlimits:\n", "routes[/x]"),
        ("limits:\n", "limits: 3\nmore:\n", "limits"),
        ("limits:\n", "peers: {lost_after: 500ms}\nlimits:\n", "peers.lost_after"),
    ],
)
def test_invalid_values_are_rejected(old: str, new: str, key: str):
    assert old in BASE
    assert any(
        diagnostic[2].startswith(key) for diagnostic in diagnostics_of(BASE.replace(old, new))
    )


def test_overlay_may_set_overridable_settings_only():
    assert diagnostics_of(overlay="models:\n  - name: small\n    weights_version: v2\n") == [
        ("site.yaml", 1, "models"),
        ("site.yaml", 1, "site"),
    ]
    assert diagnostics_of(overlay="site: east\nplacement:\n  piece_tokens: 10\n") == [
        ("site.yaml", 3, "placement.piece_tokens")
    ]


def test_diagnostics_do_not_contain_secrets():
    secret = "sk-open-sesame"
    texts = (BASE.replace(HASH_A, secret), BASE.replace(HASH_A, f"*{secret}"), f"a: '{secret}")
    for text in texts:
        with pytest.raises(ConfigError) as caught:
            load(text)
        assert secret not in str(caught.value)


def test_unreadable_files_are_reported():
    with pytest.raises(ConfigError) as caught:
        load_settings("absent.yaml", "absent-too.yaml")
    assert [diagnostic.file for diagnostic in caught.value.diagnostics] == [
        "absent.yaml",
        "absent-too.yaml",
    ]


@pytest.mark.parametrize(
    "overlay",
    sorted(ROOT.glob("deploy/*/*.yaml")),
    ids=lambda path: f"{path.parent.name}/{path.name}",
)
def test_shipped_deployments_load(overlay: Path):
    base = overlay.with_name("base.yaml")
    settings = load_settings(base, None if overlay == base else overlay)
    assert len(settings.instances) in (6, 7)
    assert len(settings.workspaces) == 8
