"""Promise: a refusal that says "not run" is true; the endpoints' ledgers judge."""

from __future__ import annotations

import random

import httpx
import pytest
import trio

from rattangate.core.once import Booking
from rattangate.core.once_messages import RecordState, RefuseCaller
from rattangate.errors import ErrorKind, Failure
from tests.booking_world import World
from tests.small_deployment import MODEL, Shape

SEEDS = 600
SEED = 5
NOT_RUN = "not run"
ENGINES = ("engine-1", "engine-2")


class CallsACutNotRun(Booking):
    """Refuse a request whose connection was cut as not run."""

    def _save_unknown(self, now):
        refusal = RefuseCaller(Failure(ErrorKind.NO_ENDPOINT))
        return self._reply(refusal) + self._write(RecordState.UNKNOWN, None, now)


class CallsALateAnswerNotRun(Booking):
    """Send first and look at the deadline afterwards."""

    def begin_send(self, call_id, now):
        super().begin_send(call_id, now)
        return True


def _count_untrue(booking_class) -> int:
    untrue = 0
    for seed in range(SEEDS):
        world = World(seed, booking_class)
        world.play()
        untrue += world.untrue
    return untrue


def test_no_schedule_brings_an_untrue_refusal():
    assert _count_untrue(Booking) == 0


@pytest.mark.parametrize("mutant", [CallsACutNotRun, CallsALateAnswerNotRun])
def test_without_the_mechanism_refusals_are_untrue(mutant):
    assert _count_untrue(mutant) > 0


class Callers:
    """Send bookings and completions and compare every refusal with the ledgers."""

    def __init__(self, deployment, client) -> None:
        self.deployment = deployment
        self.client = client
        self.urls = deployment.caller_urls()
        self.refused: set[str] = set()
        self.may_have_run: set[str] = set()

    async def book(self, key: str, place: int = 0) -> str:
        headers = {"Authorization": "Bearer demo-alpha", "Idempotency-Key": key}
        url = f"{self.urls[place]}/bookings/passes"
        resp = await self.client.post(url, json={"lot": 1}, headers=headers)
        return self._note(resp, key)

    async def complete(self, prompt: str, place: int = 0) -> str:
        headers = {"Authorization": "Bearer demo-alpha"}
        body = {"model": MODEL, "prompt": prompt, "max_tokens": 4}
        resp = await self.client.post(
            f"{self.urls[place]}/v1/completions", json=body, headers=headers
        )
        return self._note(resp, resp.headers["X-Request-Id"])

    def _note(self, resp: httpx.Response, name: str) -> str:
        if resp.status_code == 200:
            return "answered"
        run_state = resp.json()["error"]["run_state"]
        (self.refused if run_state == NOT_RUN else self.may_have_run).add(name)
        return run_state

    def assert_true(self) -> None:
        runs: set[str] = set()
        for endpoint in self.deployment.settings.endpoints:
            for run in self.deployment.ledger(endpoint.name)["runs"]:
                runs.add(run.get("key") or run.get("request_id"))
        assert not self.refused & runs


@pytest.fixture
def deployment(start):
    limits = {"limits": {"request_timeout": "2s"}}
    return start(Shape(engines=2, instances=2, services=2, settings=limits))


def _run(deployment, scenario):
    async def main():
        async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
            callers = Callers(deployment, client)
            await scenario(callers)
            callers.assert_true()

    trio.run(main)


def _fault(callers, names, **faults):
    for name in names:
        callers.deployment.set_faults(name, **faults)


def test_faults_at_each_step_of_a_booking(deployment):
    services = ("service-1", "service-2")

    async def scenario(callers):
        assert await callers.book("") == NOT_RUN
        _fault(callers, ["platform"], down=True)
        assert await callers.book("table-down") == NOT_RUN
        _fault(callers, ["platform"], down=False, delay_s=3.0)
        assert await callers.book("too-late") == NOT_RUN
        await trio.sleep(4.0)
        _fault(callers, ["platform"], delay_s=0.0)
        _fault(callers, services, refuse=True)
        assert await callers.book("refused") == NOT_RUN
        _fault(callers, services, refuse=False, cut_before_run=True)
        assert await callers.book("cut-before") == "may have run"
        _fault(callers, services, cut_before_run=False, cut_after_run=True)
        assert await callers.book("cut-after") == "may have run"
        _fault(callers, services, cut_after_run=False, run_s=3.0)
        assert await callers.book("slow") == "may have run"
        _fault(callers, services, run_s=0.0)
        assert await callers.book("refused", 1) == "answered"
        callers.refused.discard("refused")
        for name in services:
            callers.deployment.processes[name].freeze()
        assert await callers.book("frozen") == "may have run"
        for name in services:
            callers.deployment.processes[name].thaw()
        await trio.sleep(0.5)

    _run(deployment, scenario)


def test_cancelled_callers_leave_a_true_record(deployment):
    rng = random.Random(SEED)

    async def scenario(callers):
        _fault(callers, ["platform"], delay_s=0.05)
        _fault(callers, ("service-1", "service-2"), run_s=0.1)
        for number in range(12):
            key = f"left-{number}"
            with trio.move_on_after(rng.uniform(0.0, 0.3)):
                await callers.book(key)
            first = await callers.book(key, 1)
            assert first == "answered"
        ledgers = [callers.deployment.ledger(name)["runs"] for name in ("service-1", "service-2")]
        keys = [run["key"] for ledger in ledgers for run in ledger]
        assert sorted(keys) == sorted({f"left-{number}" for number in range(12)})

    _run(deployment, scenario)


def test_faults_at_each_step_of_a_completion(deployment):
    async def scenario(callers):
        assert await callers.complete("plain") == "answered"
        _fault(callers, ENGINES, cut_at=0)
        assert await callers.complete("cut") == "may have run"
        _fault(callers, ENGINES, cut_at=-1, slowdown=400.0)
        with trio.move_on_after(0.3):
            await callers.complete("abandoned")
        await callers.complete("too slow " * 200)
        _fault(callers, ENGINES, slowdown=1.0)
        for name in ENGINES:
            callers.deployment.processes[name].freeze()
        await callers.complete("frozen")
        for name in ENGINES:
            callers.deployment.processes[name].thaw()
        await trio.sleep(0.5)

    _run(deployment, scenario)
