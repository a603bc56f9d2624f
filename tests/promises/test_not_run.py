"""Guarantee: a request refused as "not run" has not run, by the ledgers of the endpoints."""

from __future__ import annotations

import random

import httpx
import pytest
import trio

from rattangate.core.at_most_once import Booking
from rattangate.core.at_most_once_messages import RecordState, RefuseCaller
from rattangate.errors import ErrorKind, Failure
from tests.booking_simulation import BookingSimulation
from tests.small_deployment import MODEL, DeploymentCfg

SEEDS = 600
SEED = 5
NOT_RUN = "not run"
ENGINES = ("engine-1", "engine-2")


class ReportsLostConnectionAsNotRun(Booking):
    """Refuse a request as not run after its connection was lost."""

    def _save_unknown(self, now):
        refusal = RefuseCaller(Failure(ErrorKind.NO_ENDPOINT))
        return self._reply(refusal) + self._write(RecordState.UNKNOWN, None, now)


class SendsAfterDeadline(Booking):
    """Send even if `begin_send` forbids it because the deadline has passed."""

    def begin_send(self, call_id, now):
        super().begin_send(call_id, now)
        return True


def _count_false_refusals(booking_class) -> int:
    false_refusals = 0
    for seed in range(SEEDS):
        simulation = BookingSimulation(seed, booking_class)
        simulation.run()
        false_refusals += simulation.false_refusals
    return false_refusals


def test_no_schedule_gives_a_false_refusal():
    assert _count_false_refusals(Booking) == 0


@pytest.mark.parametrize("mutant", [ReportsLostConnectionAsNotRun, SendsAfterDeadline])
def test_simulation_finds_false_refusals_of_each_mutant(mutant):
    assert _count_false_refusals(mutant) > 0


class RefusalChecker:
    """Send bookings and completions and check every refusal against the ledgers."""

    def __init__(self, deployment, client) -> None:
        self.deployment = deployment
        self.client = client
        self.urls = deployment.caller_urls()
        self.not_run_ids: set[str] = set()
        self.may_have_run_ids: set[str] = set()

    async def book(self, key: str, instance_index: int = 0) -> str:
        headers = {"Authorization": "Bearer demo-alpha", "Idempotency-Key": key}
        url = f"{self.urls[instance_index]}/bookings/passes"
        resp = await self.client.post(url, json={"lot": 1}, headers=headers)
        return self._record_outcome(resp, key)

    async def complete(self, prompt: str, instance_index: int = 0) -> str:
        headers = {"Authorization": "Bearer demo-alpha"}
        body = {"model": MODEL, "prompt": prompt, "max_tokens": 4}
        resp = await self.client.post(
            f"{self.urls[instance_index]}/v1/completions", json=body, headers=headers
        )
        return self._record_outcome(resp, resp.headers["X-Request-Id"])

    def _record_outcome(self, resp: httpx.Response, request_id: str) -> str:
        if resp.status_code == 200:
            return "answered"
        run_state = resp.json()["error"]["run_state"]
        (self.not_run_ids if run_state == NOT_RUN else self.may_have_run_ids).add(request_id)
        return run_state

    def assert_no_false_refusal(self) -> None:
        run_ids: set[str] = set()
        for endpoint in self.deployment.settings.endpoints:
            for run in self.deployment.ledger(endpoint.name)["runs"]:
                run_ids.add(run.get("key") or run.get("request_id"))
        assert not self.not_run_ids & run_ids


@pytest.fixture
def deployment(start):
    settings = {"limits": {"request_timeout": "2s"}}
    return start(DeploymentCfg(engines=2, instances=2, services=2, settings=settings))


def _run_scenario(deployment, scenario):
    async def main():
        async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
            checker = RefusalChecker(deployment, client)
            await scenario(checker)
            checker.assert_no_false_refusal()

    trio.run(main)


def _set_faults(checker, names, **faults):
    for name in names:
        checker.deployment.set_faults(name, **faults)


def test_refusals_are_true_with_faults_at_each_step_of_a_booking(deployment):
    services = ("service-1", "service-2")

    async def scenario(checker):
        assert await checker.book("") == NOT_RUN
        _set_faults(checker, ["platform"], down=True)
        assert await checker.book("table-down") == NOT_RUN
        _set_faults(checker, ["platform"], down=False, delay_s=3.0)
        assert await checker.book("too-late") == NOT_RUN
        await trio.sleep(4.0)
        _set_faults(checker, ["platform"], delay_s=0.0)
        _set_faults(checker, services, refuse=True)
        assert await checker.book("refused") == NOT_RUN
        _set_faults(checker, services, refuse=False, cut_before_run=True)
        assert await checker.book("cut-before") == "may have run"
        _set_faults(checker, services, cut_before_run=False, cut_after_run=True)
        assert await checker.book("cut-after") == "may have run"
        _set_faults(checker, services, cut_after_run=False, run_s=3.0)
        assert await checker.book("slow") == "may have run"
        _set_faults(checker, services, run_s=0.0)
        assert await checker.book("refused", 1) == "answered"
        checker.not_run_ids.discard("refused")
        for name in services:
            checker.deployment.processes[name].suspend()
        assert await checker.book("frozen") == "may have run"
        for name in services:
            checker.deployment.processes[name].resume()
        await trio.sleep(0.5)

    _run_scenario(deployment, scenario)


def test_bookings_of_cancelled_callers_run_exactly_once(deployment):
    rng = random.Random(SEED)

    async def scenario(checker):
        _set_faults(checker, ["platform"], delay_s=0.05)
        _set_faults(checker, ("service-1", "service-2"), run_s=0.1)
        for number in range(12):
            key = f"left-{number}"
            with trio.move_on_after(rng.uniform(0.0, 0.3)):
                await checker.book(key)
            outcome = await checker.book(key, 1)
            assert outcome == "answered"
        ledgers = [checker.deployment.ledger(name)["runs"] for name in ("service-1", "service-2")]
        keys = [run["key"] for ledger in ledgers for run in ledger]
        assert sorted(keys) == sorted({f"left-{number}" for number in range(12)})

    _run_scenario(deployment, scenario)


def test_refusals_are_true_with_faults_at_each_step_of_a_completion(deployment):
    async def scenario(checker):
        assert await checker.complete("plain") == "answered"
        _set_faults(checker, ENGINES, cut_at=0)
        assert await checker.complete("cut") == "may have run"
        _set_faults(checker, ENGINES, cut_at=-1, slowdown=400.0)
        with trio.move_on_after(0.3):
            await checker.complete("abandoned")
        await checker.complete("too slow " * 200)
        _set_faults(checker, ENGINES, slowdown=1.0)
        for name in ENGINES:
            checker.deployment.processes[name].suspend()
        await checker.complete("frozen")
        for name in ENGINES:
            checker.deployment.processes[name].resume()
        await trio.sleep(0.5)

    _run_scenario(deployment, scenario)
