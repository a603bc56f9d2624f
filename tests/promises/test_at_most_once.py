"""Promise: a request that must not be repeated runs at most once; the service's count judges."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest

from rattangate.core.once import Booking
from rattangate.core.once_messages import AttemptState
from tests.booking_world import World
from tests.small_deployment import Shape

SEEDS = 600
BODY = {"lot": "north", "night": 2}
UNKNOWN = "outcome_unknown"


class TakesOver(Booking):
    """Take over a record in DISPATCHED, as a lapsed lease would be."""

    def _wait(self, record, now):
        self._version += 1
        return self._swap_to_dispatched(now)


class SendsUnread(Booking):
    """Send although the record cannot be read back."""

    def _after_read_back(self, msg, now):
        if not msg.found:
            return self._own(self._version + 1, now)
        return super()._after_read_back(msg, now)


class SendsAgain(Booking):
    """Send again after the connection was cut."""

    def _save_unknown(self, now):
        self.state = AttemptState.OWNING
        return self._send_again_or_abandon(now)


def _count_doubled(booking_class) -> int:
    doubled = 0
    for seed in range(SEEDS):
        world = World(seed, booking_class)
        world.play()
        doubled += sum(world.runs.values()) > 1
    return doubled


def test_no_schedule_runs_a_booking_twice():
    assert _count_doubled(Booking) == 0


@pytest.mark.parametrize("mutant", [TakesOver, SendsUnread, SendsAgain])
def test_without_the_mechanism_schedules_run_a_booking_twice(mutant):
    assert _count_doubled(mutant) > SEEDS // 50


class Site:
    """Send bookings to a deployment and count their runs."""

    def __init__(self, deployment) -> None:
        self.deployment = deployment
        self.urls = deployment.caller_urls()
        self.pool = ThreadPoolExecutor(8)

    def book(self, place: int, key: str, body=BODY) -> httpx.Response:
        headers = {"Authorization": "Bearer demo-alpha", "Idempotency-Key": key}
        url = f"{self.urls[place]}/bookings/passes"
        return httpx.post(url, json=body, headers=headers, timeout=30, trust_env=False)

    def book_later(self, place: int, key: str):
        return self.pool.submit(self.book, place, key)

    def book_until_known(self, place: int, key: str) -> httpx.Response:
        for _ in range(100):
            resp = self.book(place, key)
            if resp.status_code not in (503, 504):
                return resp
            time.sleep(0.1)
        raise AssertionError(resp.text)

    def runs(self, key: str) -> int:
        names = [item.name for item in self.deployment.settings.endpoints]
        ledgers = [self.deployment.ledger(name) for name in names if name.startswith("service")]
        return sum(run["key"] == key for ledger in ledgers for run in ledger["runs"])

    def wait_runs(self, key: str) -> None:
        deadline = time.monotonic() + 20
        while not self.runs(key):
            assert time.monotonic() < deadline
            time.sleep(0.02)

    def wait_running(self) -> None:
        """Wait until a service runs a request."""
        deadline = time.monotonic() + 20
        urls = [self.deployment.endpoint_url(name) for name in ("service-1", "service-2")]
        while not any(httpx.get(f"{u}/load", trust_env=False).json()["running"] for u in urls):
            assert time.monotonic() < deadline
            time.sleep(0.02)

    def wait_row(self) -> None:
        """Wait until the platform has taken a write."""
        deadline = time.monotonic() + 20
        platform = f"http://{self.deployment.settings.platform.address}"
        url = f"{platform}/rows-get?table=rattangate&part=&from=bookings/&to=bookings0"
        while not httpx.get(url, trust_env=False, timeout=20).json()["rows"]:
            assert time.monotonic() < deadline
            time.sleep(0.02)

    def process(self, place: int):
        return self.deployment.processes[f"entry-{place + 1}"]

    def faults(self, name: str, **faults) -> None:
        for item in ("service-1", "service-2") if name == "services" else (name,):
            self.deployment.set_faults(item, **faults)


@pytest.fixture
def site(start):
    site = Site(start(Shape(engines=0, instances=3, services=2, settings={"models": []})))
    yield site
    site.faults("platform", down=False, delay_s=0.0)
    site.pool.shutdown(wait=False, cancel_futures=True)


def error(resp: httpx.Response) -> str:
    return resp.json()["error"]["type"]


def test_repeats_at_several_instances_share_one_run(site):
    site.faults("services", run_s=0.3)
    answers = [future.result() for future in [site.book_later(n % 3, "many") for n in range(8)]]
    assert {answer.status_code for answer in answers} == {200}
    assert len({answer.text for answer in answers}) == 1
    assert sum("Idempotent-Replayed" not in answer.headers for answer in answers) == 1
    assert site.runs("many") == 1
    assert site.book(2, "many").text == answers[0].text
    reused = site.book(1, "many", {"lot": "south"})
    assert (reused.status_code, error(reused)) == (422, "idempotency_key_reused")
    assert site.runs("many") == 1


def test_lost_replies_and_requests_of_the_table(site):
    for fault in ("lose_replies", "lose_requests"):
        for count in (1, 2):
            key = f"{fault}-{count}"
            site.faults("platform", **{fault: count})
            site.book(0, key)
            site.faults("platform", **{fault: 0})
            assert site.book_until_known(1, key).status_code == 200
            assert site.runs(key) == 1


def test_table_down_before_between_and_after_the_steps(site):
    site.faults("platform", down=True)
    refused = site.book(0, "before")
    assert (refused.status_code, error(refused)) == (503, "platform_unavailable")
    assert refused.json()["error"]["run_state"] == "not run"
    assert int(refused.headers["Retry-After"]) > 0
    assert site.runs("before") == 0
    site.faults("platform", down=False)
    assert site.book_until_known(1, "before").status_code == 200
    site.faults("services", run_s=1.5)
    running = site.book_later(0, "between")
    site.wait_running()
    site.faults("platform", down=True)
    answer = running.result()
    assert answer.status_code == 200
    assert site.book(1, "between").status_code in (503, 504)
    site.faults("platform", down=False)
    assert site.book_until_known(1, "between").text == answer.text
    assert (site.runs("before"), site.runs("between")) == (1, 1)


def test_endpoint_cut_after_the_run_and_before_the_answer(site):
    site.faults("services", cut_after_run=True)
    for place in (0, 1, 2):
        resp = site.book(place, "cut")
        assert (resp.status_code, error(resp)) == (504, UNKNOWN)
        assert int(resp.headers["Retry-After"]) > 0
    assert site.runs("cut") == 1


@pytest.mark.parametrize("is_killed", [False, True])
def test_holder_stopped_before_its_first_write(site, is_killed):
    site.faults("platform", delay_s=3.0)
    site.book_later(0, "k")
    time.sleep(1.2)
    site.process(0).freeze()
    site.faults("platform", delay_s=0.0)
    site.book(1, "k")
    _end_stop(site, is_killed)
    time.sleep(2.0)
    assert site.book(2, "k").status_code in (200, 504)
    assert site.runs("k") <= 1


@pytest.mark.parametrize("is_killed", [False, True])
def test_holder_stopped_between_its_write_and_its_send(site, is_killed):
    site.faults("platform", delay_s=3.0)
    site.book_later(0, "k")
    time.sleep(1.2)
    site.process(0).freeze()
    site.faults("platform", delay_s=0.0)
    site.wait_row()
    repeat = site.book(1, "k")
    assert (repeat.status_code, error(repeat)) == (504, UNKNOWN)
    assert site.runs("k") == 0
    _end_stop(site, is_killed)
    if is_killed:
        assert error(site.book(2, "k")) == UNKNOWN
    else:
        assert site.book_until_known(2, "k").status_code == 200
    assert site.runs("k") == (0 if is_killed else 1)


@pytest.mark.parametrize("is_killed", [False, True])
def test_holder_stopped_between_its_send_and_its_last_write(site, is_killed):
    site.faults("services", answer_delay_s=4.0)
    site.book_later(0, "k")
    site.wait_runs("k")
    site.process(0).freeze()
    repeat = site.book(1, "k")
    assert (repeat.status_code, error(repeat)) == (504, UNKNOWN)
    _end_stop(site, is_killed)
    if not is_killed:
        assert site.book_until_known(2, "k").status_code == 200
    assert site.runs("k") == 1


def _end_stop(site: Site, is_killed: bool) -> None:
    if is_killed:
        site.process(0).kill()
    else:
        site.process(0).thaw()
