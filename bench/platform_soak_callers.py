"""The callers of the platform soak: they keep their connections and check each answer."""

from __future__ import annotations

import math
import re
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import httpx
import trio

from bench.platform_soak_endpoints import EVENTS
from tests.front.deployment import (
    HOST,
    IDEMPOTENT_PATH,
    KEY,
    MODEL,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
)

if TYPE_CHECKING:
    import random

    from bench.platform_soak import Instance
    from bench.platform_soak_endpoints import SoakEndpoint
    from bench.platform_soak_operator import SoakOperator

STREAMERS = 24
PLAIN_CALLERS = 4
TRIES = 6
# The share of answers whose connection the caller breaks, after some event.
LEAVE_SHARE = 0.25
RETRY_PAUSE_S = 0.1
CALL_TIMEOUT_S = 12.0
# Callers give a stream up after such a gap.
STREAM_GAP_S = 2.0
# At least this share of the streams that can go on does, judged from so many on.
MIN_RESUMED_SHARE = 0.5
MIN_RESUMABLE = 12
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
EVENT_END = b"\n\n"
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


@dataclass
class _Stream:
    """Hold what a caller has of one stream over its tries; `began_as` brought its first event."""

    numbers: list[int] = field(default_factory=list)
    labels: list[str] = field(default_factory=list)
    began_as: str = ""
    tries: list[str] = field(default_factory=list)
    # Taken up while it could go on, and not gone on since.
    is_owed: bool = False


@dataclass
class Callers:
    """Send requests to all instances and record what breaks a promise."""

    rng: random.Random
    instances: list[Instance]
    endpoints: list[SoakEndpoint]
    operator: SoakOperator
    broken: list[str]
    counts: Counter[str] = field(default_factory=Counter)
    unresumed: list[str] = field(default_factory=list)
    stopped: trio.Event = field(default_factory=trio.Event)
    _is_stopping: bool = False
    _running: int = 0
    _answers: dict[str, int] = field(default_factory=dict)

    def start(self, nursery: trio.Nursery) -> None:
        """Start the callers."""
        for number in range(STREAMERS):
            nursery.start_soon(self._run, self._call_streams, f"s{number}")
        for number in range(PLAIN_CALLERS):
            nursery.start_soon(self._run, self._call_plain, f"b{number}")
            nursery.start_soon(self._run, self._call_plain, f"l{number}")

    def stop(self) -> None:
        """Let each caller end after its current request."""
        self._is_stopping = True

    def check_runs(self) -> None:
        """Check the bookings: none ran twice, none ran that was refused as not run."""
        for attempt, status in self._answers.items():
            runs = sum(endpoint.ran.get(attempt, 0) for endpoint in self.endpoints)
            if runs > 1:
                self.broken.append(f"TWICE: {attempt} ran {runs} times")
            if runs and status in PROMISES_NOT_RUN:
                self.broken.append(f"REFUSED: {attempt} got {status} and ran")

    def check_resumed(self) -> None:
        """Check that enough of the streams go on whose software still serves on their route."""
        resumable, resumed = self.counts["resumable"], self.counts["resumed"]
        if resumable >= MIN_RESUMABLE and resumed < MIN_RESUMED_SHARE * resumable:
            self.broken.append(f"LOST: {resumed} of {resumable} streams that could go on went on")

    async def _run(self, call, name: str) -> None:
        self._running += 1
        number = 0
        try:
            while not self._is_stopping:
                number += 1
                await call(f"{name}.{number}")
        finally:
            self._running -= 1
            if not self._running:
                self.stopped.set()

    def _client(self, instance: Instance, gap_s: float = CALL_TIMEOUT_S) -> httpx.AsyncClient:
        timeout = httpx.Timeout(CALL_TIMEOUT_S, read=gap_s)
        return httpx.AsyncClient(
            base_url=f"http://{instance.caller}", trust_env=False, timeout=timeout, verify=False
        )

    def _headers(self, attempt: str) -> dict[str, str]:
        return {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "6000",
            "Authorization": f"Bearer {KEY}",
        }

    async def _call_plain(self, name: str) -> None:
        """Send requests over one kept connection until it ends."""
        path = NON_IDEMPOTENT_PATH if name.startswith("b") else IDEMPOTENT_PATH
        async with self._client(self.rng.choice(self.instances)) as client:
            for number in range(20):
                attempt = f"{name}.{number}"
                try:
                    resp = await client.post(path, content=b"x", headers=self._headers(attempt))
                except httpx.HTTPError as exc:
                    self.counts[type(exc).__name__] += 1
                    self._answers[attempt] = 0
                    await trio.sleep(RETRY_PAUSE_S)
                    return
                self.counts[f"plain {resp.status_code}"] += 1
                if path == NON_IDEMPOTENT_PATH:
                    self._answers[attempt] = resp.status_code
                if resp.status_code == 200 and resp.content != attempt.encode():
                    self.broken.append(f"MIXED: {attempt} got {resp.content[:40]!r}")
                if resp.status_code != 200:
                    await trio.sleep(RETRY_PAUSE_S)

    async def _call_streams(self, name: str) -> None:
        """Read one stream, and take it up at any instance where it breaks."""
        stream = _Stream()
        for number in range(TRIES):
            attempt = f"{name}.{number}"
            is_complete = await self._read_stream(attempt, stream)
            if is_complete and len(stream.numbers) != EVENTS:
                self.broken.append(f"ORDER: {attempt} is complete after {stream.numbers[-3:]}")
            if is_complete:
                break
            await trio.sleep(RETRY_PAUSE_S)
        self.counts["streams"] += 1
        if stream.is_owed:
            self.unresumed.append(f"{name}: {'; '.join(stream.tries)}")
        self.counts["whole"] += len(stream.numbers) == EVENTS
        if stream.numbers != list(range(1, len(stream.numbers) + 1)):
            self.broken.append(f"ORDER: {name} got {stream.numbers}")
        if len(stream.labels) > 1:
            self.broken.append(f"ORDER: {name} holds {stream.labels}: {'; '.join(stream.tries)}")

    async def _read_stream(self, attempt: str, stream: _Stream) -> bool:
        """Read events until the answer ends; tell whether it ended as complete."""
        headers = self._headers(attempt) | {
            "X-Model": MODEL,
            "X-Token-Counts": "900,20",
            "X-Prefix-Hash": f"{self.rng.randrange(40):x}a:600,{self.rng.randrange(9)}b:300",
        }
        instance = self.rng.choice(self.instances)
        if stream.numbers:
            headers |= {"Last-Event-Id": str(stream.numbers[-1]), "Resumes": stream.began_as}
            self.counts["taken up"] += 1
            await self._note_owed(instance, stream)
        stream.tries.append(f"{time.time():.3f} {attempt} at {instance.name}")
        leaves = self.rng.random() < LEAVE_SHARE
        leaves_after = self.rng.randint(1, EVENTS - 1) if leaves else math.inf
        data = b""
        try:
            async with (
                self._client(instance, STREAM_GAP_S) as client,
                client.stream("POST", RESUMABLE_PATH, content=b"x", headers=headers) as resp,
            ):
                self.counts[f"stream {resp.status_code}"] += 1
                stream.tries[-1] += f" got {resp.status_code}"
                if resp.status_code != 200:
                    return False
                async for chunk in resp.aiter_raw():
                    data += chunk
                    if data.count(EVENT_END) >= leaves_after:
                        return False
            return True
        except httpx.HTTPError:
            return False
        finally:
            self._take_events(attempt, data, stream)

    def _take_events(self, attempt: str, data: bytes, stream: _Stream) -> None:
        found = EVENT_PATTERN.findall(data)
        if found and stream.numbers:
            self.counts["went on"] += 1
        if found and not stream.began_as:
            stream.began_as = attempt
        if found and stream.is_owed:
            stream.is_owed = False
            self.counts["resumed"] += 1
        stream.numbers += [int(number) for number, _ in found]
        labels = dict.fromkeys(label.decode() for _, label in found)
        stream.labels += [label for label in labels if label not in stream.labels]
        stream.tries[-1] += f", {len(found)} events of {list(labels)}"

    async def _note_owed(self, instance: Instance, stream: _Stream) -> None:
        """Count a stream once that a ready instance can let go on.

        What began it serves on a service to which the route leads.
        """
        can_go_on = len(stream.numbers) < EVENTS and any(
            endpoint.is_up
            and endpoint.software_label == stream.labels[0]
            and self.operator.leads_to(endpoint.service)
            for endpoint in self.endpoints
        )
        if can_go_on and not stream.is_owed and await instance.is_ready():
            stream.is_owed = True
            self.counts["resumable"] += 1
