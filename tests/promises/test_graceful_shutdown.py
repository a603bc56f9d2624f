"""Guarantee: a graceful shutdown interrupts no request."""

from __future__ import annotations

from dataclasses import dataclass, field

import httpx
import pytest
import trio

from tests.small_deployment import DeploymentCfg, complete, make_prompt

TOKENS = 60
CALLERS = 8
EXIT_TIMEOUT_S = 20.0
# Longer than the load balancer below takes to poll all instances, also on a busy machine.
SHUTDOWN_SETTINGS = {"shutdown": {"balancer_notice": "1500ms"}}


@dataclass
class Balancer:
    """Simulate a load balancer that sends callers to the ready instances in turn."""

    deployment: object
    ready_urls: list[str] = field(default_factory=list)
    url_requests: int = 0

    async def poll(self, client):
        """Poll the readiness of all instances until cancelled."""
        while True:
            ready_urls = []
            for url in self.deployment.caller_urls():
                try:
                    resp = await client.get(f"{url}/readyz", timeout=1.0)
                except httpx.HTTPError:
                    continue
                if resp.status_code == 200:
                    ready_urls.append(url)
            self.ready_urls = ready_urls
            await trio.sleep(0.1)

    async def next_url(self):
        """Wait for a ready instance and return its address."""
        while not self.ready_urls:
            await trio.sleep(0.02)
        self.url_requests += 1
        return self.ready_urls[self.url_requests % len(self.ready_urls)]


@dataclass
class LoadGenerator:
    """Send streams and bookings through the load balancer and collect the failures."""

    deployment: object
    stopping: bool = False
    failures: list[object] = field(default_factory=list)
    streams: int = 0
    bookings: int = 0

    async def run(self, action):
        """Run `action` under load, then wait for every answer."""
        async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
            balancer = Balancer(self.deployment)
            async with trio.open_nursery() as polling:
                polling.start_soon(balancer.poll, client)
                async with trio.open_nursery() as callers:
                    for number in range(CALLERS):
                        callers.start_soon(self._send_streams, balancer, number)
                    callers.start_soon(self._send_bookings, balancer)
                    await trio.sleep(0.3)
                    await action()
                    await trio.sleep(0.3)
                    self.stopping = True
                polling.cancel_scope.cancel()

    async def _send_streams(self, balancer, caller):
        count = 0
        while not self.stopping:
            count += 1
            prompt = make_prompt(f"caller {caller} ", f"turn {count} ")
            tokens = TOKENS if caller % 2 else 5
            async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
                try:
                    received = await complete(client, await balancer.next_url(), prompt, tokens)
                except httpx.HTTPError as exc:
                    self.failures.append(exc)
                    continue
            self.streams += 1
            if not received.is_complete(prompt, tokens):
                self.failures.append(received)

    async def _send_bookings(self, balancer):
        while not self.stopping:
            self.bookings += 1
            headers = {
                "Authorization": "Bearer demo-alpha",
                "Idempotency-Key": f"booking-{self.bookings}",
            }
            async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
                try:
                    url = await balancer.next_url()
                    resp = await client.post(f"{url}/bookings", headers=headers)
                except httpx.HTTPError as exc:
                    self.failures.append(exc)
                    continue
            if resp.status_code != 200:
                self.failures.append(resp.text)


@pytest.fixture
def deployment(start):
    return start(DeploymentCfg(engines=2, instances=2, services=1, settings=SHUTDOWN_SETTINGS))


async def _wait_exit(process):
    with trio.fail_after(EXIT_TIMEOUT_S):
        while process.popen.poll() is None:
            await trio.sleep(0.05)
    return process.popen.returncode


def _assert_all_completed(deployment, load):
    assert load.failures == []
    assert load.streams > CALLERS
    assert len(deployment.ledger("service-1")["runs"]) == load.bookings


def test_sigterm_under_load_interrupts_no_request(deployment):
    process = deployment.processes["entry-1"]
    load = LoadGenerator(deployment)
    exit_codes = []

    async def stop_one():
        process.terminate()
        exit_codes.append(await _wait_exit(process))

    trio.run(load.run, stop_one)
    assert exit_codes == [0]
    _assert_all_completed(deployment, load)


def test_rolling_restart_of_all_instances_interrupts_no_request(deployment):
    load = LoadGenerator(deployment)

    async def restart_all():
        for name in ("entry-1", "entry-2"):
            process = deployment.processes[name]
            process.terminate()
            assert await _wait_exit(process) == 0
            process.start()
            await _wait_ready(process)
            await trio.sleep(0.3)

    trio.run(load.run, restart_all)
    _assert_all_completed(deployment, load)


def test_new_connections_are_served_during_the_balancer_notice(deployment):
    url = deployment.caller_urls()[0]

    async def main():
        async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
            deployment.processes["entry-1"].terminate()
            while (await client.get(f"{url}/readyz")).status_code == 200:
                await trio.sleep(0.01)
            return await complete(client, url, make_prompt("late "), 4)

    assert trio.run(main).is_complete(make_prompt("late "), 4)


def test_stream_longer_than_every_server_timeout_completes(deployment):
    """The stream lasts much longer than `balancer_notice`, and no other request runs."""
    process = deployment.processes["entry-1"]

    async def main():
        answers = []

        async def send():
            async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
                url = deployment.caller_urls()[0]
                answers.append(await complete(client, url, make_prompt("long "), 500))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.sleep(0.5)
            process.terminate()
        return answers[0], await _wait_exit(process)

    received, exit_code = trio.run(main)
    assert received.is_complete(make_prompt("long "), 500)
    assert exit_code == 0


async def _wait_ready(process):
    async with httpx.AsyncClient(timeout=1.0, trust_env=False) as client:
        with trio.fail_after(EXIT_TIMEOUT_S):
            while True:
                try:
                    if (await client.get(process.ready_url)).status_code == 200:
                        return
                except httpx.HTTPError:
                    pass
                await trio.sleep(0.05)
