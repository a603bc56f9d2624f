"""Tests of the `config` commands: their output and exit codes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest
from typer.testing import CliRunner

from rattangate.cmd.config import app
from rattangate.exit_codes import ExitCode
from tests.config.test_load import BASE, HASH_A

if TYPE_CHECKING:
    from pathlib import Path


@pytest.fixture
def run(tmp_path: Path):
    """Return a function that writes settings files and runs a command on them."""

    def run_command(command: str, *args: str, **texts: str):
        for name, text in texts.items():
            (tmp_path / f"{name}.yaml").write_text(text)
        paths = [str(tmp_path / arg) if arg.endswith(".yaml") else arg for arg in args]
        return CliRunner().invoke(app, [command, *paths])

    return run_command


def test_check_reports_diagnostics_of_every_site(run):
    east = "site: east\nplacement:\n  first_tokn: 2s\n"
    args = ("-c", "base.yaml", "-o", "east.yaml", "-o", "west.yaml", "--json")
    result = run("check", *args, base=BASE, east=east, west="site: west\n")
    assert result.exit_code == ExitCode.CONFIG_INVALID
    diagnostics = json.loads(result.stdout)["faults"]
    assert [(item["line"], item["key"]) for item in diagnostics] == [
        (3, "placement.first_tokn"),
        (1, "site"),
    ]


def test_check_accepts_valid_files(run):
    result = run("check", "-c", "base.yaml", "-o", "east.yaml", base=BASE, east="site: east\n")
    assert result.exit_code == ExitCode.OK


def test_two_overlays_for_one_site_are_refused(run):
    args = ("-c", "base.yaml", "-o", "east.yaml", "-o", "again.yaml")
    result = run("check", *args, base=BASE, east="site: east\n", again="site: east\n")
    assert result.exit_code == ExitCode.CONFIG_INVALID


def test_show_masks_hashes(run):
    for options in ((), ("--json",)):
        result = run("show", "-c", "base.yaml", *options, base=BASE)
        assert result.exit_code == ExitCode.OK
        assert "1.5s" in result.stdout
        assert HASH_A not in result.stdout


def test_diff_lists_changes_and_masks_hashes(run):
    other = BASE.replace("1500ms", "2s").replace(HASH_A, "c" * 64)
    args = ("-c", "base.yaml", "--to-config", "other.yaml", "--json")
    result = run("diff", *args, base=BASE, other=other)
    assert result.exit_code == ExitCode.DIFFERENT
    assert json.loads(result.stdout)["changes"] == [
        {"path": "placement.first_token", "before": "1.5s", "after": "2s"},
        {"path": "workspaces[blue].key_hashes", "before": ["********"], "after": ["********"]},
    ]
    same = run("diff", "-c", "base.yaml", "--to-config", "base.yaml", base=BASE)
    assert same.exit_code == ExitCode.OK


def test_schema_command_prints_json_schema(run):
    result = run("schema")
    assert json.loads(result.stdout)["properties"]["endpoints"]["type"] == "array"
