"""An instance on the hosting platform starts without importing modules that it does not use."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import black
import pytest

from rattangate.exit_codes import ExitCode
from tools.build_thrift import PROTOCOLS, module_path, render_module

ROOT = Path(__file__).parents[2]
PRINT_IMPORTED_MODULES = (
    "import sys, rattangate.front.daemon; print(*sorted(sys.modules), sep='\\n')"
)
UNUSED_MODULES = (
    "hypercorn",
    "matplotlib",
    "prometheus_client",
    "pydantic",
    "quart",
    "rattangate.cmd",
    "rattangate.config",
    "rattangate.core.config_versions",
    "rattangate.core.membership",
    "rattangate.core.at_most_once",
    "rattangate.core.at_most_once_messages",
    "rattangate.entry",
    "rattangate.http",
    "rattangate.standins",
    "typer",
    "yaml",
)


def requirements_in(name: str) -> set[str]:
    return set((ROOT / name).read_text().split())


def test_no_unused_module_is_imported():
    command = [sys.executable, "-c", PRINT_IMPORTED_MODULES]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    loaded = [name for name in run.stdout.split() if name.startswith(UNUSED_MODULES)]
    unused = [
        name
        for name in loaded
        if any(name == module or name.startswith(f"{module}.") for module in UNUSED_MODULES)
    ]
    assert unused == []


def test_a_reload_signal_during_the_start_does_not_end_the_process(tmp_path):
    settings = tmp_path / "settings.json"
    os.mkfifo(settings)
    command = [sys.executable, "-m", "rattangate.front"]
    environment = {"RATTANGATE_BOOT": str(settings)}
    with subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, env=environment) as process:
        # Opening it waits until the process reads its settings.
        with settings.open("wb") as file:
            process.send_signal(signal.SIGHUP)
            file.write(b"not settings")
        _, errors = process.communicate()
    assert process.returncode == ExitCode.CONFIG_INVALID
    assert b"cannot serve" in errors


def test_a_missing_settings_file_fails_the_start_with_a_clear_error():
    command = [sys.executable, "-m", "rattangate.front"]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, env={}, check=False)
    assert run.returncode == 3
    assert "set the environment variable" in run.stderr


def test_platform_requirements_are_a_subset_of_all_requirements():
    platform = requirements_in("requirements-platform.txt")
    assert platform < requirements_in("requirements.txt")
    names = {requirement.partition("==")[0].lower() for requirement in platform}
    assert names.isdisjoint({"typer", "rich", "click", "quart", "hypercorn", "pydantic"})


@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_generated_thrift_modules_are_up_to_date(protocol):
    rendered = black.format_str(render_module(protocol), mode=black.Mode(line_length=100))
    assert module_path(protocol).read_text() == rendered
