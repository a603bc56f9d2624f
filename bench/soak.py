"""Inject a seeded schedule of faults into real processes and check the guarantees afterwards."""

from __future__ import annotations

import argparse
import random
import sys
import tempfile
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import httpx
import msgspec
import trio

from bench.soak_journal import Journal
from rattangate.standins.text import expected_text
from tests.operators.apply_config import apply_files
from tests.small_deployment import (
    MODEL,
    VERSION,
    WORKSPACES,
    CompletionResult,
    DeploymentCfg,
    complete,
    make_prompt,
    small_deployment,
)

if TYPE_CHECKING:
    from bench.processes import Deployment

SHAPE = DeploymentCfg(engines=3, instances=3, services=2)
CALLERS = 6
BOOKERS = 3
TOKENS = 12
BULLETINS = 8
FAULT_PAUSE_S = 0.7
FAULT_S = 1.2
SETTLE_S = 4.0
VERSION_POLL_S = 0.2
CALL_TIMEOUT_S = 20.0


@dataclass
class Soak:
    """Run callers, operators and faults against one deployment.

    `pending_faults` is the shuffled list of faults still to inject.
    """

    deployment: Deployment
    journal: Journal
    rng: random.Random
    stopping: bool = False
    pending_faults: list[str] = field(default_factory=list)

    async def run(self, seconds: float) -> None:
        """Inject faults in pairs for `seconds`, then let the system settle and check it."""
        async with trio.open_nursery() as nursery:
            for caller in range(CALLERS):
                nursery.start_soon(self._run_caller, caller, self.rng.randrange(2**32))
            for booker in range(BOOKERS):
                nursery.start_soon(self._run_booker, booker, self.rng.randrange(2**32))
            nursery.start_soon(self._watch_versions)
            with trio.move_on_after(seconds):
                while True:
                    with trio.CancelScope(shield=True):
                        await self._inject_two()
                    await trio.sleep(FAULT_PAUSE_S)
            await trio.sleep(SETTLE_S)
            self.stopping = True
        await self._final_checks()

    async def _inject_two(self) -> None:
        """Inject the next two faults concurrently while two operators change the same limit."""
        if len(self.pending_faults) < 2:
            self.pending_faults = self.rng.sample(list(FAULTS), len(FAULTS))
        async with trio.open_nursery() as nursery:
            for name in (self.pending_faults.pop(), self.pending_faults.pop()):
                self.journal.faults.append(name)
                nursery.start_soon(FAULTS[name], self, self.rng.randrange(2**32))
            nursery.start_soon(_race_operators, self, self.rng.randrange(2**32))

    async def _run_caller(self, caller: int, seed: int) -> None:
        rng = random.Random(seed)
        urls = self.deployment.caller_urls()
        sequence = 0
        async with httpx.AsyncClient(timeout=CALL_TIMEOUT_S, trust_env=False) as client:
            while not self.stopping:
                sequence += 1
                workspace = rng.choice(WORKSPACES)
                bulletin = f"bulletin {rng.randrange(BULLETINS)} "
                prompt = make_prompt("system ", workspace, bulletin) + f" {caller}.{sequence}"
                await self._send_request(client, rng.choice(urls), workspace, prompt)

    async def _send_request(
        self, client: httpx.AsyncClient, url: str, workspace: str, prompt: str
    ) -> None:
        try:
            received = await complete(client, url, prompt, TOKENS, workspace=workspace)
        except httpx.HTTPError:
            # An entry instance was killed or frozen; its callers see a broken connection.
            self.journal.streams_broken += 1
            await trio.sleep(0.05)
            return
        self._check_answer(received, prompt)

    def _check_answer(self, received: CompletionResult, prompt: str) -> None:
        journal = self.journal
        if received.status != 200:
            journal.streams_refused += 1
            if received.error["run_state"] == "not run":
                journal.refused_requests.add(received.headers["x-request-id"])
            return
        if received.error:
            journal.streams_broken += 1
        elif received.is_complete(prompt, TOKENS):
            journal.streams_complete += 1
        else:
            journal.record_violation("stream whole", f"{received} for {prompt[-20:]!r}")
        expected = expected_text(MODEL, VERSION, prompt.encode(), TOKENS)
        if not expected.startswith(received.text):
            journal.record_violation("own answer", f"got {received.text!r}, expected {expected!r}")

    async def _run_booker(self, booker: int, seed: int) -> None:
        rng = random.Random(seed)
        urls = self.deployment.caller_urls()
        number = 0
        while not self.stopping:
            number += 1
            key = f"key-{booker}-{number}"
            # Each booking is sent twice concurrently and once more afterwards, as callers retry.
            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(self._send_booking, key, rng.choice(urls))
            await self._send_booking(key, rng.choice(urls))
            await trio.sleep(0.05)

    async def _send_booking(self, key: str, url: str) -> None:
        journal = self.journal
        journal.booking_tries[key] += 1
        headers = {"Authorization": "Bearer demo-alpha", "Idempotency-Key": key}
        async with httpx.AsyncClient(timeout=CALL_TIMEOUT_S, trust_env=False) as client:
            try:
                resp = await client.post(f"{url}/bookings", content=key, headers=headers)
            except httpx.HTTPError:
                journal.bookings_unknown.add(key)
                return
        if resp.status_code == 200:
            journal.bookings_answered.add(key)
            journal.booking_answers.setdefault(key, set()).add(resp.text)
            if msgspec.json.decode(resp.content)["body"] != key:
                journal.record_violation("own answer", f"{key} got {resp.text}")
        elif resp.json()["error"]["run_state"] == "not run":
            journal.bookings_not_run[key] += 1
        else:
            journal.bookings_unknown.add(key)

    async def _watch_versions(self) -> None:
        async with httpx.AsyncClient(timeout=1.0, trust_env=False) as client:
            while not self.stopping:
                for instance in self.deployment.settings.instances:
                    await self._record_version(client, instance.name, instance.admin_address)
                await trio.sleep(VERSION_POLL_S)

    async def _record_version(self, client: httpx.AsyncClient, name: str, address: str) -> None:
        headers = {"Authorization": "Bearer demo-admin"}
        try:
            resp = await client.get(f"http://{address}/v1/config", headers=headers)
        except httpx.HTTPError:
            return
        if resp.status_code == 200:
            self.journal.versions.setdefault(name, []).append(resp.json()["in_force"])

    async def _final_checks(self) -> None:
        for endpoint in self.deployment.settings.endpoints:
            await self.collect_ledger(endpoint.name)
        newest = max(self.journal.accepted, default=0)
        for name, versions in self.journal.versions.items():
            if versions and versions[-1] < newest:
                self.journal.record_violation(
                    "configuration", f"{name} has version {versions[-1]}, expected {newest}"
                )

    async def collect_ledger(self, name: str) -> None:
        """Add the runs of an endpoint to the journal, as its ledger is lost when it is killed."""
        async with httpx.AsyncClient(timeout=5.0, trust_env=False) as client:
            url = f"{self.deployment.endpoint_url(name)}/ledger"
            try:
                runs = (await client.get(url)).json()["runs"]
            except httpx.HTTPError:
                return
        if name.startswith("engine"):
            self.journal.engine_runs.update(run["request_id"] for run in runs)
        else:
            self.journal.service_runs.update(run["key"] for run in runs)


async def _kill_engine(soak: Soak, seed: int) -> None:
    name = f"engine-{seed % SHAPE.engines + 1}"
    await soak.collect_ledger(name)
    await _restart(soak, name)


async def _kill_entry(soak: Soak, seed: int) -> None:
    await _restart(soak, f"entry-{seed % SHAPE.instances + 1}")


async def _restart(soak: Soak, name: str) -> None:
    process = soak.deployment.processes[name]
    process.kill()
    await trio.sleep(0.2)
    process.start()
    await _wait_ready(process.ready_url)


async def _stop_entry(soak: Soak, seed: int) -> None:
    process = soak.deployment.processes[f"entry-{seed % SHAPE.instances + 1}"]
    process.terminate()
    while process.popen is not None and process.popen.poll() is None:
        await trio.sleep(0.05)
    process.start()
    await _wait_ready(process.ready_url)


async def _freeze(prefix: str, count: int, soak: Soak, seed: int) -> None:
    process = soak.deployment.processes[f"{prefix}-{seed % count + 1}"]
    process.suspend()
    await trio.sleep(FAULT_S + seed % 3)
    process.resume()


async def _platform_down(soak: Soak, seed: int) -> None:
    await _set_platform(soak, down=True)
    await trio.sleep(FAULT_S + seed % 2)
    await _set_platform(soak, down=False)


async def _platform_slow(soak: Soak, seed: int) -> None:
    await _set_platform(soak, delay_s=0.4)
    await trio.sleep(FAULT_S)
    await _set_platform(soak, delay_s=0.0)


async def _lose_replies(soak: Soak, seed: int) -> None:
    await _set_platform(soak, lose_replies=3 + seed % 4)


async def _abort_service_responses(soak: Soak, seed: int) -> None:
    name = f"service-{seed % SHAPE.services + 1}"
    fault = "cut_after_run" if seed % 2 else "cut_before_run"
    await _set_faults(soak, name, **{fault: True})
    await trio.sleep(FAULT_S / 2)
    await _set_faults(soak, name, **{fault: False})


async def _abort_streams(soak: Soak, seed: int) -> None:
    name = f"engine-{seed % SHAPE.engines + 1}"
    await _set_faults(soak, name, cut_at=seed % TOKENS, event_loss=0.3)
    await trio.sleep(FAULT_S)
    await _set_faults(soak, name, cut_at=-1, event_loss=0.0)


async def _race_operators(soak: Soak, seed: int) -> None:
    """Change one limit through two instances concurrently, based on the same version."""
    async with trio.open_nursery() as nursery:
        for number, instance in enumerate(soak.deployment.settings.instances[:2]):
            nursery.start_soon(
                _change_limit, soak, instance.admin_address, 200 + seed % 97 + number
            )


async def _change_limit(soak: Soak, address: str, max_streams: int) -> None:
    headers = {"Authorization": "Bearer demo-admin"}
    async with httpx.AsyncClient(
        base_url=f"http://{address}", timeout=5.0, trust_env=False, headers=headers
    ) as client:
        try:
            seen = await client.get("/v1/limits")
            etag = seen.headers.get("ETag", "")
            edit_headers = {"If-Match": etag, "Change-Reason": "soak"}
            resp = await client.put(
                "/v1/limits", json={"max_streams": max_streams}, headers=edit_headers
            )
        except httpx.HTTPError:
            return
        if resp.status_code == 200:
            soak.journal.accepted.add(resp.json().get("version", 0))


async def _set_platform(soak: Soak, **faults: Any) -> None:
    await _post_faults(f"http://{soak.deployment.settings.platform.address}", faults)


async def _set_faults(soak: Soak, name: str, **faults: Any) -> None:
    await _post_faults(soak.deployment.endpoint_url(name), faults)


async def _post_faults(url: str, faults: dict[str, Any]) -> None:
    async with httpx.AsyncClient(timeout=10.0, trust_env=False) as client:
        try:
            await client.post(f"{url}/faults", json=faults)
        except httpx.HTTPError:
            return


async def _wait_ready(url: str) -> None:
    async with httpx.AsyncClient(timeout=1.0, trust_env=False) as client:
        while True:
            try:
                if (await client.get(url)).status_code == 200:
                    return
            except httpx.HTTPError:
                pass
            await trio.sleep(0.05)


FAULTS = {
    "kill engine": _kill_engine,
    "kill entry": _kill_entry,
    "stop entry": _stop_entry,
    "freeze engine": partial(_freeze, "engine", SHAPE.engines),
    "freeze entry": partial(_freeze, "entry", SHAPE.instances),
    "freeze service": partial(_freeze, "service", SHAPE.services),
    "platform down": _platform_down,
    "platform slow": _platform_slow,
    "lose replies": _lose_replies,
    "cut service": _abort_service_responses,
    "cut streams": _abort_streams,
}


def run_soak(seed: int, seconds: float, folder: Path) -> Journal:
    """Run one fault schedule and return the journal with its violations."""
    journal = Journal()
    with small_deployment(folder, SHAPE) as deployment:
        code, accepted = apply_files(deployment, 0)
        assert code == 0, accepted
        soak = Soak(deployment, journal, random.Random(seed))
        trio.run(soak.run, seconds)
    journal.check()
    return journal


def main() -> int:
    """Run the schedule of the command line; return 1 if a guarantee is violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        journal = run_soak(args.seed, args.seconds, Path(folder))
    for violation in journal.violations:
        print(f"violated: {violation.guarantee}: {violation.evidence}")
    print(
        f"soak: seed {args.seed}, faults {len(journal.faults)}, whole {journal.streams_complete}, "
        f"refused {journal.streams_refused}, broken {journal.streams_broken}, "
        f"booked {len(journal.bookings_answered)}, versions {len(journal.accepted)}, "
        f"violations {len(journal.violations)}"
    )
    return 1 if journal.violations else 0


if __name__ == "__main__":
    sys.exit(main())
