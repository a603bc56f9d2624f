"""The commands `instances` and `endpoints` against running instances."""

from __future__ import annotations

import json

import pytest

from rattangate.exit_codes import ExitCode
from tests.operators.apply_config import apply_files, run_command, wait_in_force
from tests.small_deployment import MODEL, DeploymentCfg, small_deployment


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    shape = DeploymentCfg(engines=3, instances=2, services=0)
    with small_deployment(tmp_path_factory.mktemp("fleet"), shape) as running:
        apply_files(running, 0)
        wait_in_force(running, 1)
        yield running


def _run_json(deployment, *args):
    return run_command(*args, "--config", str(deployment.base), "--json")


def test_instances_and_endpoints_are_listed(deployment):
    listed = _run_json(deployment, "instances")
    assert listed.returncode == ExitCode.OK
    assert {row["state"] for row in json.loads(listed.stdout)} == {"live"}
    listed = _run_json(deployment, "endpoints", "list")
    names = [row["name"] for row in json.loads(listed.stdout)]
    assert names == ["engine-1", "engine-2", "engine-3"]


def test_order_sets_the_weights_version_and_drain_removes_the_endpoint(deployment):
    ordered = _run_json(deployment, "endpoints", "order", MODEL, "v2", "--why", "new weights")
    assert ordered.returncode == ExitCode.OK, ordered.stdout
    version = json.loads(ordered.stdout)["version"]
    wait_in_force(deployment, version)
    instance = deployment.settings.instances[0]
    models = deployment.admin_get(instance, "/v1/models")["models"]
    assert [model["weights_version"] for model in models] == ["v2"]
    drained = _run_json(deployment, "endpoints", "drain", "engine-3", "--why", "repair")
    assert drained.returncode == ExitCode.OK, drained.stdout
    wait_in_force(deployment, json.loads(drained.stdout)["version"])
    listed = json.loads(_run_json(deployment, "endpoints", "list").stdout)
    assert [row["name"] for row in listed] == ["engine-1", "engine-2"]


def test_drain_of_an_unknown_endpoint_prints_the_reason(deployment):
    refused = _run_json(deployment, "endpoints", "drain", "nobody", "--why", "x")
    assert refused.returncode == ExitCode.FAILED
    assert "no entry 'nobody'" in refused.stdout
