"""Stand-in of a model engine: completions, cache events, load reports, orders and injected faults.

A block is a fixed number of prompt tokens, identified by a hash: the unit of the prefix cache.
"""

from __future__ import annotations

import os
import random
import time
from collections import deque
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import httpx
import msgspec
import trio
from quart import Response, request

from rattangate.core.prefix import count_tokens, hash_blocks
from rattangate.core.prompts import InvalidPrompt, prompt_bytes
from rattangate.standins.engine_model import (
    CacheDelta,
    EngineModel,
    EngineSpec,
    Finished,
    FirstToken,
    Job,
)
from rattangate.standins.text import text_seed, text_token
from rattangate.standins.web import json_response, make_app, run_app

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from quart_trio import QuartTrio

LOAD_SAMPLE_S = 0.05
EVENT_LOG_LENGTH = 10_000
EVENT_RETENTION_S = 3.0
EVENT_WAIT_S = 4.0  # Longest wait of one long poll for cache events.
WEIGHTS_LOAD_S = 1.0
POISON_EXIT_CODE = 17
DEFAULT_MAX_TOKENS = 16


@dataclass(slots=True)
class EngineFaults:
    """Hold the injected faults; `POST /faults` sets each field by its name.

    `cut_at`, `repeat_at` and `skip_at` are token offsets, -1 for never. A `split_bytes` above 0
    splits each event into parts of that size. A prompt that contains `poison` crashes the process.
    `ignore_expected` accepts requests for another incarnation or weights version. `stall_s` delays
    the load report. `crossed_answers` counts the next requests that get the answer of another one.
    """

    event_loss: float = 0.0
    event_delay_s: float = 0.0
    load_lag_s: float = 0.1
    slowdown: float = 1.0
    cut_at: int = -1
    repeat_at: int = -1
    skip_at: int = -1
    split_bytes: int = 0
    poison: str = ""
    ignore_expected: bool = False
    stall_s: float = 0.0
    crossed_answers: int = 0


@dataclass(slots=True)
class _Stream:
    first: trio.Event = field(default_factory=trio.Event)
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class _Reply:
    request_id: str
    prompt: bytes
    is_chat: bool


@dataclass(frozen=True, slots=True)
class EngineCfg:
    """Configure an engine process; `platform` is the platform's address or empty.

    `checks_orders` refuses orders whose fencing number is older than the highest one seen.
    """

    address: str
    model: str
    weights_version: str
    spec: EngineSpec
    checks_orders: bool
    platform: str
    seed: int


class Engine:
    """Run one engine model in real time behind an HTTP API."""

    def __init__(self, cfg: EngineCfg) -> None:
        self.cfg = cfg
        self.rng = random.Random(cfg.seed)
        self.model = EngineModel(cfg.spec, self.rng)
        self.faults = EngineFaults()
        self.incarnation = time.time_ns() // 1_000_000
        self.weights_version = cfg.weights_version
        self.state = "live"
        self.role = "serve"
        self.highest_fencing_token = 0
        self.orders: list[dict[str, Any]] = []
        self.ledger: list[dict[str, Any]] = []
        self._streams: dict[int, _Stream] = {}
        self._job_id = 0
        self._model_changed = trio.Event()
        self._events: deque[tuple[float, dict[str, Any]]] = deque(maxlen=EVENT_LOG_LENGTH)
        self._event_seq = 0
        self._loads: deque[tuple[float, dict[str, Any]]] = deque(maxlen=200)

    async def run_model(self) -> None:
        """Advance the model whenever its next change is due or a job arrives or ends."""
        while True:
            due = self.model.next_change()
            self._model_changed = trio.Event()
            with trio.move_on_at(due if due is not None else float("inf")):
                await self._model_changed.wait()
            self._advance()

    async def sample_load(self) -> None:
        """Record the load at fixed intervals, so that reports can lag behind it."""
        while True:
            load = self.model.load()
            self._loads.append(
                (
                    trio.current_time(),
                    {
                        "running": load.running,
                        "waiting": load.waiting,
                        "waiting_tokens": load.waiting_tokens,
                    },
                )
            )
            await trio.sleep(LOAD_SAMPLE_S)

    def submit(self, job: Job) -> _Stream:
        """Queue a job and return the stream that signals its first token."""
        stream = _Stream()
        self._streams[job.job_id] = stream
        self.model.slowdown = self.faults.slowdown
        self.model.submit(job, trio.current_time())
        self._model_changed.set()
        return stream

    def cancel(self, job_id: int) -> None:
        """Cancel a job whose caller disconnected."""
        self._streams.pop(job_id, None)
        self.model.cancel(job_id, trio.current_time())
        self._model_changed.set()

    def next_job_id(self) -> int:
        """Return a new job ID."""
        self._job_id += 1
        return self._job_id

    def reported_load(self) -> dict[str, Any]:
        """Return the load as it was `load_lag_s` ago."""
        reported_at = trio.current_time() - self.faults.load_lag_s
        report: dict[str, Any] = {"running": 0, "waiting": 0, "waiting_tokens": 0}
        age_s = 0.0
        for at, load in self._loads:
            if at > reported_at:
                break
            report = load
            age_s = trio.current_time() - at
        return {
            **report,
            "age_s": age_s,
            "incarnation": self.incarnation,
            "weights_version": self.weights_version,
            "model": self.cfg.model,
            "state": self.state,
            "role": self.role,
        }

    def events_after(self, seq: int) -> list[dict[str, Any]]:
        """Return the cache events after a sequence number that are older than `event_delay_s`."""
        due = trio.current_time() - self.faults.event_delay_s
        while self._events and self._events[0][0] < due - EVENT_RETENTION_S:
            self._events.popleft()
        return [event for at, event in self._events if event["seq"] > seq and at <= due]

    async def load_weights(self, version: str) -> None:
        """Load a weights version and clear the cache, which belongs to the old version."""
        self.state = "loading"
        await self._fetch_weights(version)
        self.weights_version = version
        self.model.cache.clear()
        self.state = "live"

    async def _fetch_weights(self, version: str) -> None:
        if not self.cfg.platform:
            await trio.sleep(WEIGHTS_LOAD_S)
            return
        async with httpx.AsyncClient(timeout=30.0) as client:
            await client.get(f"http://{self.cfg.platform}/weights/{version}")

    def _advance(self) -> None:
        now = trio.current_time()
        for event in self.model.advance(now):
            match event:
                case FirstToken(job_id, cached_tokens):
                    stream = self._streams.get(job_id)
                    if stream is not None:
                        stream.cached_tokens = cached_tokens
                        stream.first.set()
                case CacheDelta():
                    self._publish(event)
                case Finished(job_id):
                    self._streams.pop(job_id, None)

    def _publish(self, delta: CacheDelta) -> None:
        self._event_seq += 1
        if self.rng.random() < self.faults.event_loss:
            return
        event = {
            "seq": self._event_seq,
            "stored": [f"{piece:016x}" for piece in delta.stored],
            "evicted": [f"{piece:016x}" for piece in delta.evicted],
        }
        self._events.append((trio.current_time(), event))


def make_engine_app(engine: Engine) -> QuartTrio:
    """Create the web application of an engine."""
    app = make_app("engine")

    @app.post("/v1/completions")
    @app.post("/v1/chat/completions")
    async def complete() -> Response:
        return await _complete(engine)

    @app.get("/load")
    async def load() -> Response:
        if engine.faults.stall_s:
            await trio.sleep(engine.faults.stall_s)
        return json_response(engine.reported_load())

    @app.get("/cache-events")
    async def cache_events() -> Response:
        after = int(request.args.get("after", "0"))
        with trio.move_on_after(EVENT_WAIT_S):
            while not engine.events_after(after):
                await trio.sleep(LOAD_SAMPLE_S)
        events = engine.events_after(after)
        return json_response({"incarnation": engine.incarnation, "events": events})

    @app.post("/orders")
    async def orders() -> Response:
        return await _execute_order(engine, msgspec.json.decode(await request.get_data()))

    @app.post("/kv/export")
    async def export_kv() -> Response:
        return await _export_kv(engine, msgspec.json.decode(await request.get_data()))

    @app.post("/kv/import")
    async def import_kv() -> Response:
        return await _import_kv(engine, msgspec.json.decode(await request.get_data()))

    @app.post("/faults")
    async def faults() -> Response:
        changes = msgspec.json.decode(await request.get_data())
        for name, value in changes.items():
            setattr(engine.faults, name, value)
        engine.model.slowdown = engine.faults.slowdown
        return json_response({})

    @app.get("/ledger")
    async def ledger() -> Response:
        return json_response({"runs": engine.ledger, "orders": engine.orders})

    return app


async def run_engine(cfg: EngineCfg) -> None:
    """Run an engine until cancelled."""
    engine = Engine(cfg)
    app = make_engine_app(engine)
    await run_app(app, cfg.address, engine.run_model, engine.sample_load)


async def _complete(engine: Engine) -> Response:
    body = msgspec.json.decode(await request.get_data())
    if body.get("model") != engine.cfg.model:
        return json_response({"error": "unknown model"}, 404)
    if engine.state == "leaving":
        return json_response({"error": "leaving", "not_run": True}, 503)
    if not engine.faults.ignore_expected and not _matches_expected_versions(engine):
        return json_response(
            {"error": "another incarnation or weights version", "not_run": True}, 409
        )
    prompt = prompt_bytes(body)
    if isinstance(prompt, InvalidPrompt):
        return json_response({"error": f"{prompt.key}: {prompt.problem}"}, 400)
    if engine.faults.poison and engine.faults.poison.encode() in prompt:
        os._exit(POISON_EXIT_CODE)
    offset = int(body.get("resume_offset", 0))
    max_tokens = int(body.get("max_tokens") or DEFAULT_MAX_TOKENS)
    context = prompt + body.get("resume_text", "").encode()
    pieces = hash_blocks(body.get("cache_salt", ""), context, engine.cfg.spec.piece_tokens)
    job = Job(
        engine.next_job_id(),
        pieces,
        count_tokens(context),
        max_tokens,
        int(body.get("priority", 0)),
        offset,
    )
    request_id = request.headers.get("X-Request-Id", f"job-{job.job_id}")
    engine.ledger.append({"request_id": request_id, "offset": offset})
    stream = engine.submit(job)
    with ExitStack() as stack:
        stack.callback(engine.cancel, job.job_id)
        await stream.first.wait()
        stack.pop_all()
    if engine.faults.crossed_answers > 0:
        engine.faults.crossed_answers -= 1
        request_id, prompt = "req-of-another-caller", b"another prompt"
    chunks = _generate(engine, job, stream, _Reply(request_id, prompt, "messages" in body))
    return Response(
        chunks,
        headers={
            "Content-Type": "text/event-stream",
            "X-Incarnation": str(engine.incarnation),
            "X-Weights-Version": engine.weights_version,
            "X-Cached-Tokens": str(stream.cached_tokens),
        },
    )


def _matches_expected_versions(engine: Engine) -> bool:
    incarnation = request.headers.get("X-Expected-Incarnation", str(engine.incarnation))
    version = request.headers.get("X-Expected-Weights-Version", engine.weights_version)
    return incarnation == str(engine.incarnation) and version == engine.weights_version


async def _generate(
    engine: Engine, job: Job, stream: _Stream, reply: _Reply
) -> AsyncIterator[bytes]:
    started = trio.current_time()
    try:
        for offset in range(job.delivered_tokens, job.max_tokens):
            tokens_done = offset - job.delivered_tokens
            interval_s = engine.faults.slowdown / engine.cfg.spec.decode_tokens_per_s
            await trio.sleep_until(started + tokens_done * interval_s)
            if offset == engine.faults.cut_at:
                raise ConnectionAbortedError
            if offset == engine.faults.skip_at:
                continue
            event = _encode_chunk(engine, job, stream, reply, offset)
            for part in _split_event(event, engine.faults.split_bytes):
                yield part
            if offset == engine.faults.repeat_at:
                yield event
        yield b"data: [DONE]\n\n"
    finally:
        engine.cancel(job.job_id)


def _encode_chunk(engine: Engine, job: Job, stream: _Stream, reply: _Reply, offset: int) -> bytes:
    version = engine.weights_version
    text = text_token(text_seed(engine.cfg.model, version, reply.prompt), offset)
    is_last = offset == job.max_tokens - 1
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length" if is_last else None}
    if reply.is_chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    chunk: dict[str, Any] = {
        "id": reply.request_id,
        "object": "chat.completion.chunk" if reply.is_chat else "text_completion",
        "model": engine.cfg.model,
        "system_fingerprint": f"{engine.incarnation}.{version}",
        "offset": offset,
        "choices": [choice],
    }
    if is_last:
        chunk["usage"] = {
            "prompt_tokens": count_tokens(reply.prompt),
            "completion_tokens": job.max_tokens,
            "total_tokens": count_tokens(reply.prompt) + job.max_tokens,
            "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
        }
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def _split_event(event: bytes, size: int) -> list[bytes]:
    if size <= 0:
        return [event]
    return [event[start : start + size] for start in range(0, len(event), size)]


async def _execute_order(engine: Engine, order: dict[str, Any]) -> Response:
    fencing = int(order.get("fencing", 0))
    if engine.cfg.checks_orders and fencing < engine.highest_fencing_token:
        return json_response(
            {"error": "old fencing number", "highest": engine.highest_fencing_token}, 409
        )
    engine.highest_fencing_token = max(engine.highest_fencing_token, fencing)
    engine.orders.append(order)
    match order.get("order"):
        case "load":
            if engine.weights_version != order["weights_version"]:
                await engine.load_weights(order["weights_version"])
        case "drain":
            engine.state = "leaving"
        case "role":
            engine.role = order["role"]
        case _:
            return json_response({"error": "unknown order"}, 400)
    return json_response(engine.reported_load())


async def _export_kv(engine: Engine, body: dict[str, Any]) -> Response:
    exported = []
    async with httpx.AsyncClient(base_url=f"http://{engine.cfg.platform}") as client:
        for piece in body["pieces"]:
            if int(piece, 16) not in engine.model.cache:
                continue
            await client.put(f"/kv/{engine.weights_version}/{piece}", content=b"kv")
            exported.append(piece)
    return json_response({"exported": exported})


async def _import_kv(engine: Engine, body: dict[str, Any]) -> Response:
    imported = []
    async with httpx.AsyncClient(base_url=f"http://{engine.cfg.platform}") as client:
        for piece in body["pieces"]:
            resp = await client.get(f"/kv/{engine.weights_version}/{piece}")
            if resp.status_code != 200:
                break
            imported.append(int(piece, 16))
    import_s = len(imported) * engine.cfg.spec.piece_tokens / engine.cfg.spec.import_tokens_per_s
    await trio.sleep(import_s)
    engine.model.insert(tuple(imported), trio.current_time())
    engine._model_changed.set()
    return json_response({"imported": [f"{piece:016x}" for piece in imported]})
