"""Helpers that apply configuration files to a running deployment and wait for them."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from typing import TYPE_CHECKING, Any

from typer.testing import CliRunner

from bench.processes import ROOT
from rattangate.cmd.config import app

if TYPE_CHECKING:
    from pathlib import Path

    from bench.processes import Deployment

IN_FORCE_TIMEOUT_S = 30.0


def run_command(*args: str) -> subprocess.CompletedProcess[str]:
    """Run a rattangate command as a process, with the administration key of the demo."""
    return subprocess.run(
        [sys.executable, "-m", "rattangate", *args],
        cwd=ROOT,
        env={**os.environ, "RATTANGATE_ADMIN_KEY": "demo-admin"},
        capture_output=True,
        text=True,
        timeout=60.0,
        check=False,
    )


def apply_files(
    deployment: Deployment, edited_from: int, base: Path | None = None, *extra_args: str
) -> tuple[int, dict[str, Any]]:
    """Apply the files of a deployment; return the exit code and the decoded JSON output."""
    overlays = [arg for path in deployment.overlays.values() for arg in ("-o", str(path))]
    args = ["-c", str(base or deployment.base), *overlays, "--edited-from", str(edited_from)]
    result = CliRunner().invoke(app, ["apply", *args, "--why", "test", "--json", *extra_args])
    return result.exit_code, json.loads(result.stdout)


def versions_in_force(deployment: Deployment, names: set[str] | None = None) -> dict[str, int]:
    """Return the version in force that each started instance reports, by instance name."""
    started = deployment.settings.instances[: deployment.instances]
    return {
        instance.name: deployment.admin_get(instance, "/v1/config")["in_force"]
        for instance in started
        if names is None or instance.name in names
    }


def wait_in_force(deployment: Deployment, version: int, names: set[str] | None = None) -> None:
    """Wait until the started instances have at least `version` in force."""
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
    while min(versions_in_force(deployment, names).values()) < version:
        if time.monotonic() > deadline:
            raise AssertionError(f"version {version} is not in force")
        time.sleep(0.05)
