"""Rollouts on real processes: holder killed, frozen and woken, outage, opposed orders."""

from __future__ import annotations

import base64
import json
import threading
import time

import httpx
import pytest
import trio
import yaml

from tests.operators.applied import apply_files
from tests.small_deployment import MODEL, Shape, complete, make_prompt, small_deployment

ENGINES = ("engine-1", "engine-2", "engine-3", "engine-4")
GIVE_UP_S = 60.0
TOKENS = 6


class Fleet:
    """Roll versions out and sample what the engines report."""

    def __init__(self, deployment) -> None:
        self.deployment = deployment
        self.applied = 0
        self.most_loading = 0
        self.least_ready = len(ENGINES)

    def apply(self, version: str) -> None:
        raw = yaml.safe_load(self.deployment.base.read_text())
        raw["models"] = [{"name": MODEL, "weights_version": version, "min_replicas": 2}]
        self.deployment.base.write_text(yaml.safe_dump(raw, sort_keys=False))
        code, printed = apply_files(self.deployment, self.applied)
        assert code == 0, printed
        self.applied += 1

    def reports(self) -> list[dict]:
        urls = [self.deployment.endpoint_url(name) for name in ENGINES]
        return [httpx.get(f"{url}/load", trust_env=False).json() for url in urls]

    def wait(self, is_done) -> None:
        deadline = time.monotonic() + GIVE_UP_S
        while True:
            reports = self.reports()
            loading = sum(report["state"] == "loading" for report in reports)
            self.most_loading = max(self.most_loading, loading)
            self.least_ready = min(self.least_ready, len(ENGINES) - loading)
            if is_done(reports):
                return
            assert time.monotonic() < deadline, reports
            time.sleep(0.02)

    def wait_all(self, version: str) -> None:
        self.wait(
            lambda reports: {(r["weights_version"], r["state"]) for r in reports}
            == {(version, "live")}
        )

    def wait_begun(self, version: str) -> None:
        self.wait(
            lambda reports: any(
                r["state"] == "loading" or r["weights_version"] == version for r in reports
            )
        )

    def holder(self):
        platform = f"http://{self.deployment.settings.platform.address}"
        url = f"{platform}/rows-get?table=rattangate&part=&from=leases/orders&to=leases/orders0"
        (row,) = httpx.get(url, trust_env=False).json()["rows"]
        name = json.loads(base64.b64decode(row["value"]))["holder"]["instance"]
        return self.deployment.processes[name]

    def assert_bounds(self) -> None:
        assert self.most_loading <= 2
        assert self.least_ready >= 2


@pytest.fixture(params=[True, False], ids=["checks", "ignores"])
def fleet(request, tmp_path):
    shape = Shape(engines=4, instances=2, services=0, checks_orders=request.param)
    with small_deployment(tmp_path, shape) as deployment:
        yield Fleet(deployment)


def test_no_request_sees_two_versions_and_bounds_hold(fleet):
    answers = []
    stop = threading.Event()

    async def ask():
        async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
            while not stop.is_set():
                prompt = make_prompt(f"caller {len(answers)} ")
                url = fleet.deployment.caller_urls()[len(answers) % 2]
                answers.append((prompt, await complete(client, url, prompt, TOKENS)))

    asking = threading.Thread(target=trio.run, args=(ask,))
    asking.start()
    try:
        fleet.apply("v2")
        fleet.wait_all("v2")
    finally:
        stop.set()
        asking.join()
    fleet.assert_bounds()
    for prompt, received in answers:
        assert any(received.is_whole(prompt, TOKENS, version) for version in ("v1", "v2"))


def test_a_rollout_resumes_after_its_holder_is_killed(fleet):
    fleet.apply("v2")
    fleet.wait_begun("v2")
    fleet.holder().kill()
    fleet.wait_all("v2")
    fleet.assert_bounds()


def test_a_frozen_holder_wakes_to_an_opposed_order(fleet):
    fleet.apply("v2")
    fleet.wait_begun("v2")
    frozen = fleet.holder()
    frozen.freeze()
    fleet.apply("v3")
    fleet.wait_all("v3")
    frozen.thaw()
    time.sleep(2.0)
    fleet.wait_all("v3")
    fleet.assert_bounds()


def test_a_rollout_is_turned_back_through_an_outage_of_the_platform(fleet):
    fleet.apply("v2")
    fleet.wait_begun("v2")
    fleet.apply("v1")
    fleet.deployment.set_faults("platform", down=True)
    time.sleep(6.0)
    fleet.deployment.set_faults("platform", down=False)
    fleet.wait_all("v1")
    fleet.assert_bounds()
