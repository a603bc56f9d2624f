"""Validation of the deploy file reports every fault with its line and a hint."""

from __future__ import annotations

from pathlib import Path

import pytest
from typer.testing import CliRunner

from rattangate.cmd.main import app
from rattangate.config.diagnostics import ConfigError
from rattangate.exit_codes import ExitCode
from rattangate.platform.deploy_file import check_deploy_file

DEPLOY_FILE = Path(__file__).parents[2] / "deploy" / "system.toml"
METRICS_ADDRESS = "9464/metrics"


def find_faults(text: str) -> list[tuple[int, str]]:
    """Return the lines and keys of the faults of a deploy file."""
    with pytest.raises(ConfigError) as raised:
        check_deploy_file(text, "system.toml", METRICS_ADDRESS)
    assert all(fault.hint and fault.problem for fault in raised.value.diagnostics)
    return [(fault.line, fault.key) for fault in raised.value.diagnostics]


def test_deploy_file_of_this_repository_is_valid():
    check_deploy_file(DEPLOY_FILE.read_text(), str(DEPLOY_FILE), METRICS_ADDRESS)


def test_all_faults_are_reported_with_their_lines():
    text = DEPLOY_FILE.read_text().replace('on = "front"', 'on = "rear"').replace("9464", "80")
    text = text.replace("share = 1.0", "share = 2\nshape = 3")
    lines = text.splitlines()
    found = find_faults(text)
    assert {key for _, key in found} == {
        "roles.entry.on",
        "roles.entry.metrics",
        "roles.entry.share",
        "roles.entry.shape",
    }
    assert all(lines[line - 1].startswith(key.rpartition(".")[2]) for line, key in found)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", [(0, "build"), (0, "roles")]),
        ('build = "x"\n[roles.a]\n', [(2, "roles.a"), (2, "roles.a.on"), (2, "roles.a.run")]),
        ('build = "x"\nroles = 3\n', [(2, "roles")]),
        ("build = \n", [(1, "")]),
    ],
)
def test_missing_fields_are_reported(text, expected):
    assert find_faults(text) == expected


def test_service_listed_in_two_roles_of_a_class_is_reported():
    role = '[roles.{}]\nrun = "x"\non = "front"\nshare = 1.0\nserves = ["front"]\n'
    text = 'build = "x"\n' + role.format("a") + role.format("b")
    assert find_faults(text) == [(11, "roles.b.serves")]


def test_command_prints_faults_and_sets_exit_codes(tmp_path):
    good = CliRunner().invoke(app, ["config", "check-deploy", str(DEPLOY_FILE)])
    assert good.exit_code == ExitCode.OK
    bad = tmp_path / "system.toml"
    bad.write_text("build = 1\n")
    result = CliRunner().invoke(app, ["config", "check-deploy", str(bad), "--json"])
    assert result.exit_code == ExitCode.CONFIG_INVALID
    assert '"key": "build"' in result.stdout
    missing = CliRunner().invoke(app, ["config", "check-deploy", str(tmp_path / "none")])
    assert missing.exit_code == ExitCode.CONFIG_INVALID
