"""Rollouts of weights versions on real processes.

The lease holder that directs the rollout is killed or paused with SIGSTOP, the platform is down
for a while, and a newer version is applied while a rollout runs.
"""

from __future__ import annotations

import base64
import json
import threading
import time
from contextlib import contextmanager

import httpx
import pytest
import trio
import yaml

from tests.operators.apply_config import apply_files
from tests.small_deployment import (
    MODEL,
    CompletionResult,
    DeploymentCfg,
    complete,
    make_prompt,
    small_deployment,
)

ENGINES = ("engine-1", "engine-2", "engine-3", "engine-4")
ROLLOUT_TIMEOUT_S = 60.0
TOKENS = 6
STATE_EVENTS = ('"message_type":"endpoint_', '"message_type":"order_')


class Rollout:
    """Apply weights versions and record the extremes of what the engines report."""

    def __init__(self, deployment) -> None:
        self.deployment = deployment
        self.applied_version = 0
        self.max_loading = 0
        self.min_ready = len(ENGINES)

    def apply(self, version: str) -> None:
        base = yaml.safe_load(self.deployment.base.read_text())
        base["models"] = [{"name": MODEL, "weights_version": version, "min_replicas": 2}]
        self.deployment.base.write_text(yaml.safe_dump(base, sort_keys=False))
        code, printed = apply_files(self.deployment, self.applied_version)
        assert code == 0, printed
        self.applied_version += 1

    def reports(self) -> list[dict]:
        urls = [self.deployment.endpoint_url(name) for name in ENGINES]
        return [httpx.get(f"{url}/load", trust_env=False).json() for url in urls]

    def wait_until(self, is_done) -> None:
        deadline = time.monotonic() + ROLLOUT_TIMEOUT_S
        while True:
            reports = self.reports()
            loading = sum(report["state"] == "loading" for report in reports)
            self.max_loading = max(self.max_loading, loading)
            self.min_ready = min(self.min_ready, len(ENGINES) - loading)
            if is_done(reports):
                return
            assert time.monotonic() < deadline, reports
            time.sleep(0.02)

    def wait_all_live(self, version: str) -> None:
        self.wait_until(
            lambda reports: {(r["weights_version"], r["state"]) for r in reports}
            == {(version, "live")}
        )

    def wait_started(self, version: str) -> None:
        self.wait_until(
            lambda reports: any(
                r["state"] == "loading" or r["weights_version"] == version for r in reports
            )
        )

    def lease_holder(self):
        platform = f"http://{self.deployment.settings.platform.address}"
        url = f"{platform}/rows-get?table=rattangate&part=&from=leases/orders&to=leases/orders0"
        (row,) = httpx.get(url, trust_env=False).json()["rows"]
        name = json.loads(base64.b64decode(row["value"]))["holder"]["instance"]
        return self.deployment.processes[name]

    def describe(self, received: CompletionResult) -> str:
        """Describe an answer and the log lines of its request and of the changes of endpoints."""
        request_id = received.headers.get("x-request-id", "")
        lines = [
            f"{path.stem}: {line}"
            for path in sorted(self.deployment.log_dir.glob("entry-*.log"))
            for line in path.read_text().splitlines()
            if (request_id and request_id in line) or any(kind in line for kind in STATE_EVENTS)
        ]
        return "\n".join([f"request {request_id!r} got {received}", *lines])

    def assert_replica_bounds(self) -> None:
        assert self.max_loading <= 2
        assert self.min_ready >= 2


@pytest.fixture(params=[True, False], ids=["engines-check-fencing", "engines-ignore-fencing"])
def rollout(request, tmp_path):
    shape = DeploymentCfg(engines=4, instances=2, services=0, checks_orders=request.param)
    with small_deployment(tmp_path, shape) as deployment:
        yield Rollout(deployment)


@contextmanager
def sending_requests(rollout, callers=1):
    """Send requests until the context ends, and yield the list of prompts and answers."""
    answers = []
    stop = threading.Event()

    async def send_requests(caller):
        async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
            while not stop.is_set():
                prompt = make_prompt(f"caller {caller} {len(answers)} ")
                url = rollout.deployment.caller_urls()[(caller + len(answers)) % 2]
                answers.append((prompt, await complete(client, url, prompt, TOKENS)))

    async def run_callers():
        async with trio.open_nursery() as nursery:
            for caller in range(callers):
                nursery.start_soon(send_requests, caller)

    caller_thread = threading.Thread(target=trio.run, args=(run_callers,))
    caller_thread.start()
    try:
        yield answers
    finally:
        stop.set()
        caller_thread.join()


def assert_all_complete(rollout, answers):
    for prompt, received in answers:
        is_complete = any(received.is_complete(prompt, TOKENS, version) for version in ("v1", "v2"))
        assert is_complete, rollout.describe(received)


def test_each_answer_comes_from_one_version_and_replica_bounds_hold(rollout):
    with sending_requests(rollout) as answers:
        rollout.apply("v2")
        rollout.wait_all_live("v2")
    rollout.assert_replica_bounds()
    assert_all_complete(rollout, answers)


def test_rollout_resumes_after_the_lease_holder_is_killed(rollout):
    rollout.apply("v2")
    rollout.wait_started("v2")
    rollout.lease_holder().kill()
    rollout.wait_all_live("v2")
    rollout.assert_replica_bounds()


def test_paused_lease_holder_does_not_undo_a_newer_rollout(rollout):
    # The holder of the lease is paused while it orders v2 and resumed after v3 is live.
    rollout.apply("v2")
    rollout.wait_started("v2")
    holder = rollout.lease_holder()
    holder.suspend()
    rollout.apply("v3")
    rollout.wait_all_live("v3")
    holder.resume()
    time.sleep(2.0)
    rollout.wait_all_live("v3")
    rollout.assert_replica_bounds()


def test_rollback_completes_after_a_platform_outage(rollout):
    # The platform goes down right after the rollback to v1 was accepted.
    rollout.apply("v2")
    rollout.wait_started("v2")
    rollout.apply("v1")
    rollout.deployment.set_faults("platform", down=True)
    time.sleep(6.0)
    rollout.deployment.set_faults("platform", down=False)
    rollout.wait_all_live("v1")
    rollout.assert_replica_bounds()
