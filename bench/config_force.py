"""Measure the delay until an accepted configuration is in force on every instance."""

from __future__ import annotations

import json
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import trio
import yaml

from rattangate.auth import hash_key
from rattangate.config.content import encode_content, make_content
from rattangate.config.load import load_sources
from rattangate.core.config_versions import Accepted, Proposal
from rattangate.platform.store import Store
from rattangate.records.config_store import ConfigStore
from tests.small_deployment import DeploymentCfg, small_deployment

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench.processes import Deployment
    from rattangate.config.model import InstanceCfg

CHANGES = 50
INSTANCES = 7
BOUND_S = 8.0
PROPOSE_TIMEOUT_S = 10.0
STORE_TIMEOUT_S = 2.0
IN_FORCE_TIMEOUT_S = 30.0


def main() -> int:
    """Print the median and the worst delay; return 1 if the worst exceeds the bound."""
    shape = DeploymentCfg(
        engines=1,
        services=0,
        instances=INSTANCES,
        data_centres=3,
        settings={"peers": {"secret_hash": hash_key("demo-peers")}},
    )
    with tempfile.TemporaryDirectory() as folder:
        with small_deployment(Path(folder), shape) as deployment:
            times = sorted(trio.run(_measure, deployment))
    worst, median = times[-1], times[len(times) // 2]
    verdict = "holds" if worst < BOUND_S else "FAILS"
    print(f"config in force everywhere, median of {CHANGES}: {median:.2f} s")
    print(
        f"config in force everywhere, worst of {CHANGES}: {worst:.2f} s (< {BOUND_S} s) {verdict}"
    )
    return 0 if worst < BOUND_S else 1


async def _measure(deployment: Deployment) -> list[float]:
    times = []
    async with Store(deployment.settings.platform.address, STORE_TIMEOUT_S) as client:
        store = ConfigStore(client)
        for number in range(CHANGES):
            version = await _change(deployment, store, number)
            accepted_at = time.time()
            times.append(await _wait_in_force(deployment, version) - accepted_at)
    return times


async def _change(deployment: Deployment, store: ConfigStore, number: int) -> int:
    settings = yaml.safe_load(deployment.base.read_text())
    settings["limits"] = {"max_streams": 500 + number}
    changed = deployment.base.with_name("changed.yaml")
    changed.write_text(yaml.safe_dump(settings))
    content = encode_content(make_content(load_sources(changed, [])))
    proposal = Proposal(number, content, f"change-{number}", "bench", "bench", "now")
    outcome = await store.propose(proposal, PROPOSE_TIMEOUT_S)
    if not isinstance(outcome, Accepted):
        raise RuntimeError(f"configuration change {number} was not accepted: {outcome}")
    return outcome.record.version


async def _wait_in_force(deployment: Deployment, version: int) -> float:
    """Return the wall-clock time at which the last instance logged `config_in_force`."""
    with trio.fail_after(IN_FORCE_TIMEOUT_S):
        while True:
            times = [
                _logged_at(deployment, instance.name, version)
                for instance in _instances(deployment)
            ]
            logged = [at for at in times if at is not None]
            if len(logged) == len(times):
                return max(logged)
            await trio.sleep(0.1)


def _instances(deployment: Deployment) -> tuple[InstanceCfg, ...]:
    return deployment.settings.instances[: deployment.instances]


def _logged_at(deployment: Deployment, name: str, version: int) -> float | None:
    for event in _in_force_events(deployment, name):
        if event["version"] >= version:
            return float(event["timestamp"])
    return None


def _in_force_events(deployment: Deployment, name: str) -> Iterator[dict[str, Any]]:
    assert deployment.log_dir is not None
    for line in (deployment.log_dir / f"{name}.log").read_text().splitlines():
        if '"config_in_force"' in line:
            yield json.loads(line)


if __name__ == "__main__":
    sys.exit(main())
