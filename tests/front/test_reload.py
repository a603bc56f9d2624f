"""A changed settings file is applied without a restart; an invalid one changes nothing."""

from __future__ import annotations

import json
from types import SimpleNamespace

from rattangate.core.shared_clock import SharedClock
from rattangate.front.reload import SettingsReloader
from rattangate.front.state import FrontState
from rattangate.platform.boot import decode_boot
from tests.platform.test_boot import BOOT


def test_changed_bounds_are_applied_and_an_invalid_file_is_ignored(tmp_path, monkeypatch):
    path = tmp_path / "node.json"
    path.write_text(json.dumps(BOOT))
    monkeypatch.setenv("RATTANGATE_BOOT", str(path))
    boot = decode_boot(path.read_bytes(), str(path))
    state = FrontState(boot, SimpleNamespace(), SimpleNamespace(), SharedClock())
    reloader = SettingsReloader(state)
    path.write_text(json.dumps({**BOOT, "bounds": {"revoke_ms": 2000}}))
    reloader.reload()
    assert state.boot.bounds.revoke_s == 2.0
    assert state.keys.revoke_s == 2.0
    path.write_text("{")
    reloader.reload()
    assert state.boot.bounds.revoke_s == 2.0
