"""Guarantee: an accepted configuration is in force everywhere and never reverts.

These tests use real processes. The simulation in tests/core/test_config_versions.py adds network
partitions between peers, delayed writes and mutants that violate the guarantee.
"""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest
import yaml

from bench.processes import Deployment
from rattangate.auth import hash_key
from rattangate.exit_codes import ExitCode
from tests.operators.apply_config import apply_files, run_command, versions_in_force, wait_in_force
from tests.small_deployment import DeploymentCfg, free_addresses, small_deployment

if TYPE_CHECKING:
    from pathlib import Path

SHAPE = DeploymentCfg(
    engines=1,
    services=0,
    instances=3,
    data_centres=2,
    settings={"peers": {"secret_hash": hash_key("demo-peers")}},
)


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    """Run three instances; the second data centre cannot reach the platform."""
    folder = tmp_path_factory.mktemp("config")
    template = small_deployment(folder, SHAPE)
    unreachable_platform = {"site": "dc-2", "platform": {"address": free_addresses(1)[0]}}
    overlay = folder / "dc-2.yaml"
    overlay.write_text(yaml.safe_dump(unreachable_platform))
    overlays = {"dc-2": overlay}
    with Deployment(
        template.base, overlays, template.instances, template.engine_cfgs, folder
    ) as deployment:
        yield deployment
        for name in versions_in_force(deployment):
            assert_no_older_version_logged(deployment, name)


def assert_no_older_version_logged(deployment: Deployment, name: str) -> None:
    """Assert that an instance's log shows no older version in force after a newer one."""
    lines = (deployment.log_dir / f"{name}.log").read_text().splitlines()
    events = [json.loads(line) for line in lines if '"config_in_force"' in line]
    versions = [event["version"] for event in events]
    assert versions
    assert versions == sorted(versions), name


def newest_version(deployment: Deployment) -> int:
    """Return the newest accepted version, or 0 if there is none."""
    record = deployment.admin_get(deployment.settings.instances[0], "/v1/config")["newest"]
    return record["version"] if record else 0


def write_variant(deployment: Deployment, folder: Path, max_streams: int) -> Path:
    """Write a base file that differs in the limit `max_streams`."""
    settings = yaml.safe_load(deployment.base.read_text())
    settings["limits"] = {"max_streams": max_streams}
    path = folder / f"variant-{max_streams}.yaml"
    path.write_text(yaml.safe_dump(settings))
    return path


def stream_limits_in_force(deployment: Deployment) -> set[int]:
    """Return the values of the limit `max_streams` that the instances have in force."""
    return {
        deployment.admin_get(instance, "/v1/limits")["limits"]["max_streams"]
        for instance in deployment.settings.instances
    }


def apply_variant(deployment: Deployment, folder: Path, max_streams: int, *more: str):
    """Apply a variant as a change of the newest version."""
    path = write_variant(deployment, folder, max_streams)
    return apply_files(deployment, newest_version(deployment), path, *more)


def apply_in_subprocess(deployment: Deployment, edited_from: int, base: Path):
    """Apply a base file in a separate process, as one of several concurrent operators."""
    overlays = ("-o", str(deployment.overlays["dc-2"]))
    args = ("-c", str(base), *overlays, "--edited-from", str(edited_from), "--why", base.stem)
    return run_command("config", "apply", *args, "--json")


def test_one_of_several_concurrent_changes_wins_and_the_others_have_no_effect(deployment, tmp_path):
    start_version = newest_version(deployment)
    paths = [write_variant(deployment, tmp_path, 100 + n) for n in range(4)]
    # The delay lets all operators read the table before the first one writes.
    deployment.set_faults("platform", delay_s=1.0)
    with ThreadPoolExecutor(len(paths)) as pool:
        results = list(
            pool.map(lambda path: apply_in_subprocess(deployment, start_version, path), paths)
        )
    deployment.set_faults("platform", delay_s=0.0)
    codes = [result.returncode for result in results]
    assert sorted(codes) == [ExitCode.OK, *[ExitCode.CONFLICT] * 3]
    for result in results:
        printed = json.loads(result.stdout)
        if result.returncode == ExitCode.CONFLICT:
            assert printed["proposed"]["change_id"] != printed["newest"]["change_id"]
    wait_in_force(deployment, start_version + 1)
    assert newest_version(deployment) == start_version + 1
    assert stream_limits_in_force(deployment) == {100 + codes.index(ExitCode.OK)}


@pytest.mark.parametrize("fault", ["lose_replies", "lose_requests"])
@pytest.mark.parametrize("count", [1, 3])
def test_retried_change_after_lost_requests_or_replies_gives_one_version(
    deployment, tmp_path, fault: str, count: int
):
    start_version = newest_version(deployment)
    path = write_variant(deployment, tmp_path, 200 + count)
    deployment.set_faults("platform", **{fault: count})
    code, printed = apply_files(deployment, start_version, path, "--change-id", f"{fault}-{count}")
    deployment.set_faults("platform", lose_replies=0, lose_requests=0)
    assert code == ExitCode.OK
    retry_code, repeated = apply_files(
        deployment, start_version, path, "--change-id", f"{fault}-{count}"
    )
    assert (retry_code, repeated["record"]) == (ExitCode.OK, printed["record"])
    wait_in_force(deployment, start_version + 1)
    assert newest_version(deployment) == start_version + 1


def test_change_during_a_platform_outage_is_not_accepted(deployment, tmp_path):
    start_version = newest_version(deployment)
    path = write_variant(deployment, tmp_path, 300)
    deployment.set_faults("platform", down=True)
    code, printed = apply_files(deployment, start_version, path, "--timeout", "1")
    deployment.set_faults("platform", down=False)
    assert (code, printed["outcome"]) == (ExitCode.UNAVAILABLE, "refused")
    assert newest_version(deployment) == start_version


def test_accepted_change_reaches_all_instances_during_a_platform_outage(deployment, tmp_path):
    delayed = deployment.processes["entry-3"]
    delayed.suspend()
    code, printed = apply_variant(deployment, tmp_path, 400)
    assert code == ExitCode.OK
    wait_in_force(deployment, printed["record"]["version"], {"entry-1"})
    deployment.set_faults("platform", down=True)
    delayed.resume()
    wait_in_force(deployment, printed["record"]["version"])
    assert stream_limits_in_force(deployment) == {400}
    deployment.set_faults("platform", down=False)


def version_in_force(deployment: Deployment, name: str) -> int:
    """Return the version that an instance has in force."""
    for instance in deployment.settings.instances:
        if instance.name == name:
            return deployment.admin_get(instance, "/v1/config")["in_force"]
    raise KeyError(name)


@pytest.mark.parametrize("name", ["entry-1", "entry-2"])
@pytest.mark.parametrize("down", [False, True])
def test_restarted_instance_serves_no_older_version(deployment, tmp_path, name: str, down: bool):
    code, printed = apply_variant(deployment, tmp_path, 500)
    assert code == ExitCode.OK
    wait_in_force(deployment, printed["record"]["version"])
    deployment.set_faults("platform", down=down)
    process = deployment.processes[name]
    process.kill()
    process.start()
    process.wait_ready()
    assert version_in_force(deployment, name) == printed["record"]["version"]
    deployment.set_faults("platform", down=False)


def test_restarted_instance_has_the_newest_version_before_it_serves(deployment, tmp_path):
    code, printed = apply_variant(deployment, tmp_path, 550)
    assert code == ExitCode.OK
    wait_in_force(deployment, printed["record"]["version"])
    log = deployment.log_dir / "entry-1.log"
    size = log.stat().st_size
    process = deployment.processes["entry-1"]
    process.kill()
    process.start()
    process.wait_ready()
    text = log.read_bytes()[size:].decode()
    assert 0 <= text.find('"config_in_force"') < text.find('"instance_started"')


def test_paused_instance_applies_the_newest_of_several_changes(deployment, tmp_path):
    frozen = deployment.processes["entry-2"]
    frozen.suspend()
    for max_streams in (601, 602, 603):
        assert apply_variant(deployment, tmp_path, max_streams)[0] == ExitCode.OK
    frozen.resume()
    wait_in_force(deployment, newest_version(deployment))
    assert stream_limits_in_force(deployment) == {603}


def test_invalid_change_is_refused_before_it_reaches_the_platform(deployment, tmp_path):
    start_version = newest_version(deployment)
    path = write_variant(deployment, tmp_path, 0)
    code, printed = apply_files(deployment, start_version, path)
    assert code == ExitCode.CONFIG_INVALID
    assert printed["faults"][0]["key"] == "limits.max_streams"
    assert newest_version(deployment) == start_version


def test_status_shows_the_version_of_each_instance(deployment):
    wait_in_force(deployment, newest_version(deployment))
    result = run_command("config", "status", "-c", str(deployment.base), "--json")
    status = json.loads(result.stdout)
    assert status["instances"] == versions_in_force(deployment)
    assert status["versions"][0]["version"] == newest_version(deployment)
    assert result.returncode == ExitCode.OK
