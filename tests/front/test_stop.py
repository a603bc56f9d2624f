"""Signals that an instance gets while it stops do not change how it ends."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from tests.small_deployment import free_addresses

ROOT = Path(__file__).parents[2]
SIGNAL_INTERVAL_S = 0.002
LIMIT_S = 60.0


def write_settings(path: Path) -> None:
    """Write the settings of an instance whose store is away."""
    caller, ready, peer, store = free_addresses(4)
    host = caller.rsplit(":", 1)[0]
    port = int(peer.rsplit(":", 1)[1])
    settings = {
        "node_name": "entry-1",
        "ip": host,
        "zone": "riverside",
        "listen": {"front": caller, "ready": ready},
        "port_range": [port, port],
        "platform": {"address": store},
        "bounds": {"grace_s": 3},
    }
    path.write_text(json.dumps(settings))


def wait_for_start(process: subprocess.Popen[bytes]) -> None:
    """Read the log until the instance accepts requests."""
    assert process.stdout is not None
    for line in process.stdout:
        if b'"instance_started"' in line:
            return
    raise AssertionError("the instance ended")


@pytest.mark.parametrize("further", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_signals_until_the_end_of_a_stopping_process_leave_its_exit_code(tmp_path, further):
    settings = tmp_path / "settings.json"
    write_settings(settings)
    command = [sys.executable, "-m", "rattangate.front"]
    environment = {"RATTANGATE_BOOT": str(settings)}
    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, env=environment) as process:
        wait_for_start(process)
        process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + LIMIT_S
        while process.poll() is None and time.monotonic() < deadline:
            process.send_signal(further)
            time.sleep(SIGNAL_INTERVAL_S)
    assert process.returncode == 0
