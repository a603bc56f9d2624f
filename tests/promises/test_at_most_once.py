"""Guarantee: a request that is not repeatable runs at most once, by the ledger of the service."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest

from rattangate.core.at_most_once import Booking
from rattangate.core.at_most_once_messages import AttemptState
from tests.booking_simulation import BookingSimulation
from tests.small_deployment import DeploymentCfg

SEEDS = 600
BODY = {"lot": "north", "night": 2}
OUTCOME_UNKNOWN = "outcome_unknown"


class TakesOverDispatched(Booking):
    """Take over a record in DISPATCHED as if the lease of its holder had expired."""

    def _wait(self, record, now):
        self._version += 1
        return self._swap_to_dispatched(now)


class SendsAfterFailedReadBack(Booking):
    """Send although its record could not be read back."""

    def _after_read_back(self, msg, now):
        if not msg.succeeded:
            return self._take_ownership(self._version + 1, now)
        return super()._after_read_back(msg, now)


class ResendsAfterLostConnection(Booking):
    """Send again after the connection to the endpoint was lost."""

    def _save_unknown(self, now):
        self.state = AttemptState.OWNING
        return self._send_again_or_abandon(now)


def _count_double_runs(booking_class) -> int:
    double_runs = 0
    for seed in range(SEEDS):
        simulation = BookingSimulation(seed, booking_class)
        simulation.run()
        double_runs += sum(simulation.runs.values()) > 1
    return double_runs


def test_no_schedule_runs_a_booking_twice():
    assert _count_double_runs(Booking) == 0


@pytest.mark.parametrize(
    "mutant", [TakesOverDispatched, SendsAfterFailedReadBack, ResendsAfterLostConnection]
)
def test_simulation_finds_double_runs_of_each_mutant(mutant):
    assert _count_double_runs(mutant) > SEEDS // 50


class BookingHarness:
    """Send bookings to a deployment, inject faults and count the runs of its services."""

    def __init__(self, deployment) -> None:
        self.deployment = deployment
        self.urls = deployment.caller_urls()
        self.pool = ThreadPoolExecutor(8)

    def book(self, instance_index: int, key: str, body=BODY) -> httpx.Response:
        headers = {"Authorization": "Bearer demo-alpha", "Idempotency-Key": key}
        url = f"{self.urls[instance_index]}/bookings/passes"
        return httpx.post(url, json=body, headers=headers, timeout=30, trust_env=False)

    def submit_booking(self, instance_index: int, key: str):
        return self.pool.submit(self.book, instance_index, key)

    def retry_booking(self, instance_index: int, key: str) -> httpx.Response:
        for _ in range(100):
            resp = self.book(instance_index, key)
            if resp.status_code not in (503, 504):
                return resp
            time.sleep(0.1)
        raise AssertionError(resp.text)

    def count_runs(self, key: str) -> int:
        names = [endpoint.name for endpoint in self.deployment.settings.endpoints]
        ledgers = [self.deployment.ledger(name) for name in names if name.startswith("service")]
        return sum(run["key"] == key for ledger in ledgers for run in ledger["runs"])

    def wait_until_in_ledger(self, key: str) -> None:
        deadline = time.monotonic() + 20
        while not self.count_runs(key):
            assert time.monotonic() < deadline
            time.sleep(0.02)

    def wait_until_running(self) -> None:
        """Wait until a service is running a request."""
        deadline = time.monotonic() + 20
        urls = [self.deployment.endpoint_url(name) for name in ("service-1", "service-2")]
        while not any(httpx.get(f"{url}/load", trust_env=False).json()["running"] for url in urls):
            assert time.monotonic() < deadline
            time.sleep(0.02)

    def wait_until_recorded(self) -> None:
        """Wait until the platform holds the record of a booking."""
        deadline = time.monotonic() + 20
        platform = f"http://{self.deployment.settings.platform.address}"
        url = f"{platform}/rows-get?table=rattangate&part=&from=bookings/&to=bookings0"
        while not httpx.get(url, trust_env=False, timeout=20).json()["rows"]:
            assert time.monotonic() < deadline
            time.sleep(0.02)

    def process(self, instance_index: int):
        return self.deployment.processes[f"entry-{instance_index + 1}"]

    def set_faults(self, name: str, **faults) -> None:
        for target in ("service-1", "service-2") if name == "services" else (name,):
            self.deployment.set_faults(target, **faults)


@pytest.fixture
def harness(start):
    harness = BookingHarness(
        start(DeploymentCfg(engines=0, instances=3, services=2, settings={"models": []}))
    )
    yield harness
    harness.set_faults("platform", down=False, delay_s=0.0)
    harness.pool.shutdown(wait=False, cancel_futures=True)


def error_type(resp: httpx.Response) -> str:
    return resp.json()["error"]["type"]


def test_repeats_at_several_instances_share_one_run(harness):
    harness.set_faults("services", run_s=0.3)
    answers = [
        future.result() for future in [harness.submit_booking(n % 3, "many") for n in range(8)]
    ]
    assert {answer.status_code for answer in answers} == {200}
    assert len({answer.text for answer in answers}) == 1
    assert sum("Idempotent-Replayed" not in answer.headers for answer in answers) == 1
    assert harness.count_runs("many") == 1
    assert harness.book(2, "many").text == answers[0].text
    reused = harness.book(1, "many", {"lot": "south"})
    assert (reused.status_code, error_type(reused)) == (422, "idempotency_key_reused")
    assert harness.count_runs("many") == 1


def test_lost_table_requests_and_replies_cause_no_second_run(harness):
    for fault in ("lose_replies", "lose_requests"):
        for count in (1, 2):
            key = f"{fault}-{count}"
            harness.set_faults("platform", **{fault: count})
            harness.book(0, key)
            harness.set_faults("platform", **{fault: 0})
            assert harness.retry_booking(1, key).status_code == 200
            assert harness.count_runs(key) == 1


def test_table_outage_before_and_during_a_booking_causes_no_second_run(harness):
    harness.set_faults("platform", down=True)
    refused = harness.book(0, "before")
    assert (refused.status_code, error_type(refused)) == (503, "platform_unavailable")
    assert refused.json()["error"]["run_state"] == "not run"
    assert int(refused.headers["Retry-After"]) > 0
    assert harness.count_runs("before") == 0
    harness.set_faults("platform", down=False)
    assert harness.retry_booking(1, "before").status_code == 200
    harness.set_faults("services", run_s=1.5)
    running = harness.submit_booking(0, "between")
    harness.wait_until_running()
    harness.set_faults("platform", down=True)
    answer = running.result()
    assert answer.status_code == 200
    assert harness.book(1, "between").status_code in (503, 504)
    harness.set_faults("platform", down=False)
    assert harness.retry_booking(1, "between").text == answer.text
    assert (harness.count_runs("before"), harness.count_runs("between")) == (1, 1)


def test_connection_cut_between_run_and_answer_gives_unknown_outcome(harness):
    harness.set_faults("services", cut_after_run=True)
    for instance_index in (0, 1, 2):
        resp = harness.book(instance_index, "cut")
        assert (resp.status_code, error_type(resp)) == (504, OUTCOME_UNKNOWN)
        assert int(resp.headers["Retry-After"]) > 0
    assert harness.count_runs("cut") == 1


@pytest.mark.parametrize("is_killed", [False, True])
def test_holder_paused_or_killed_before_its_first_write(harness, is_killed):
    harness.set_faults("platform", delay_s=3.0)
    harness.submit_booking(0, "k")
    time.sleep(1.2)
    harness.process(0).suspend()
    harness.set_faults("platform", delay_s=0.0)
    harness.book(1, "k")
    _kill_or_resume(harness, is_killed)
    time.sleep(2.0)
    assert harness.book(2, "k").status_code in (200, 504)
    assert harness.count_runs("k") <= 1


@pytest.mark.parametrize("is_killed", [False, True])
def test_holder_paused_or_killed_between_its_write_and_its_send(harness, is_killed):
    harness.set_faults("platform", delay_s=3.0)
    harness.submit_booking(0, "k")
    time.sleep(1.2)
    harness.process(0).suspend()
    harness.set_faults("platform", delay_s=0.0)
    harness.wait_until_recorded()
    repeat = harness.book(1, "k")
    assert (repeat.status_code, error_type(repeat)) == (504, OUTCOME_UNKNOWN)
    assert harness.count_runs("k") == 0
    _kill_or_resume(harness, is_killed)
    if is_killed:
        assert error_type(harness.book(2, "k")) == OUTCOME_UNKNOWN
    else:
        assert harness.retry_booking(2, "k").status_code == 200
    assert harness.count_runs("k") == (0 if is_killed else 1)


@pytest.mark.parametrize("is_killed", [False, True])
def test_holder_paused_or_killed_between_its_send_and_its_last_write(harness, is_killed):
    harness.set_faults("services", answer_delay_s=4.0)
    harness.submit_booking(0, "k")
    harness.wait_until_in_ledger("k")
    harness.process(0).suspend()
    repeat = harness.book(1, "k")
    assert (repeat.status_code, error_type(repeat)) == (504, OUTCOME_UNKNOWN)
    _kill_or_resume(harness, is_killed)
    if not is_killed:
        assert harness.retry_booking(2, "k").status_code == 200
    assert harness.count_runs("k") == 1


def _kill_or_resume(harness: BookingHarness, is_killed: bool) -> None:
    if is_killed:
        harness.process(0).kill()
    else:
        harness.process(0).resume()
