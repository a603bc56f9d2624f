"""A model of an engine's prefix cache, batching and time, without input or output."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


class Eviction(Enum):
    """Name the eviction rules of the prefix cache."""

    LRU = "lru"
    FIFO = "fifo"
    RANDOM = "random"


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Describe an engine: sizes in pieces and tokens, rates in tokens a second."""

    piece_tokens: int = 4000
    cache_pieces: int = 64
    prefill_tokens_per_s: float = 40_000.0
    decode_tokens_per_s: float = 40.0
    max_running: int = 64
    import_tokens_per_s: float = 400_000.0
    eviction: Eviction = Eviction.LRU


@dataclass(frozen=True, slots=True)
class Job:
    """Describe one request to an engine; a lower priority number goes first."""

    job_id: int
    pieces: tuple[int, ...]
    prompt_tokens: int
    max_tokens: int
    priority: int = 0
    delivered_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Started:
    """Report that an engine began the prefill of a job."""

    job_id: int
    at: float


@dataclass(frozen=True, slots=True)
class FirstToken:
    """Report the end of a job's prefill and the tokens that the cache served."""

    job_id: int
    cached_tokens: int
    at: float


@dataclass(frozen=True, slots=True)
class Finished:
    """Report that a job generated its last token."""

    job_id: int
    at: float


@dataclass(frozen=True, slots=True)
class CacheDelta:
    """Report pieces that entered and left the cache."""

    stored: tuple[int, ...]
    evicted: tuple[int, ...]
    at: float


ModelEvent = Started | FirstToken | Finished | CacheDelta


@dataclass(frozen=True, slots=True)
class ModelLoad:
    """Report what an engine runs and what waits before it."""

    running: int
    waiting: int
    waiting_tokens: int


@dataclass(slots=True)
class _Prefill:
    job: Job
    cached: int
    ends_at: float


@dataclass(slots=True)
class EngineModel:
    """Advance an engine through time; jobs prefill one at a time and decode in a batch."""

    spec: EngineSpec
    rng: random.Random
    slowdown: float = 1.0
    busy_until: float = 0.0
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    _waiting: list[tuple[int, int, Job]] = field(default_factory=list)
    _order: int = 0
    _prefill: _Prefill | None = None
    _decoding: dict[int, float] = field(default_factory=dict)
    _events: list[ModelEvent] = field(default_factory=list)

    def submit(self, job: Job, now: float) -> None:
        """Queue a job."""
        self._order += 1
        heapq.heappush(self._waiting, (job.priority, self._order, job))
        self._start_prefill(now)

    def cancel(self, job_id: int, now: float) -> None:
        """Drop a job wherever it stands."""
        kept = [entry for entry in self._waiting if entry[2].job_id != job_id]
        if len(kept) != len(self._waiting):
            heapq.heapify(kept)
            self._waiting = kept
        self._decoding.pop(job_id, None)
        if self._prefill is not None and self._prefill.job.job_id == job_id:
            self._prefill = None
        self._start_prefill(now)

    def next_change(self) -> float | None:
        """Return the time of the next change, or None when idle."""
        times = list(self._decoding.values())
        if self._prefill is not None:
            times.append(self._prefill.ends_at)
        elif self._waiting and len(self._decoding) < self.spec.max_running:
            times.append(self.busy_until)
        return min(times, default=None)

    def advance(self, now: float) -> list[ModelEvent]:
        """Apply all changes that are due and return them in order of time."""
        while True:
            due = self.next_change()
            if due is None or due > now:
                break
            self._apply_change(due)
        events, self._events = self._events, []
        return events

    def cached_prefix(self, pieces: tuple[int, ...]) -> int:
        """Count the leading pieces that the cache holds."""
        count = 0
        for piece in pieces:
            if piece not in self.cache:
                break
            count += 1
        return count

    def load(self) -> ModelLoad:
        """Return the present load."""
        tokens = sum(job.prompt_tokens for _, _, job in self._waiting)
        running = len(self._decoding) + (self._prefill is not None)
        return ModelLoad(running, len(self._waiting), tokens)

    def insert(self, pieces: tuple[int, ...], now: float) -> None:
        """Enter pieces into the cache, as a prefill or an import does."""
        stored = []
        evicted = []
        for piece in pieces:
            if piece in self.cache:
                if self.spec.eviction is Eviction.LRU:
                    self.cache.move_to_end(piece)
                continue
            while len(self.cache) >= self.spec.cache_pieces:
                evicted.append(self._evict_one())
            self.cache[piece] = None
            stored.append(piece)
        if stored or evicted:
            self._events.append(CacheDelta(tuple(stored), tuple(evicted), now))

    def clear(self) -> None:
        """Lose all jobs and the whole cache, as a crash does."""
        self.cache.clear()
        self._waiting.clear()
        self._decoding.clear()
        self._events.clear()
        self._prefill = None

    def pause_until(self, deadline: float) -> None:
        """Start no prefill before the deadline."""
        self.busy_until = max(self.busy_until, deadline)

    def _apply_change(self, at: float) -> None:
        prefill = self._prefill
        if prefill is not None and prefill.ends_at <= at:
            self._finish_prefill(prefill)
        for job_id, ends_at in list(self._decoding.items()):
            if ends_at <= at:
                del self._decoding[job_id]
                self._events.append(Finished(job_id, ends_at))
        self._start_prefill(at)

    def _finish_prefill(self, prefill: _Prefill) -> None:
        job = prefill.job
        self._prefill = None
        self.insert(job.pieces, prefill.ends_at)
        cached_tokens = prefill.cached * self.spec.piece_tokens
        self._events.append(FirstToken(job.job_id, cached_tokens, prefill.ends_at))
        tokens_left = max(0, job.max_tokens - job.delivered_tokens - 1)
        decode_s = self.slowdown * tokens_left / self.spec.decode_tokens_per_s
        self._decoding[job.job_id] = prefill.ends_at + decode_s

    def _start_prefill(self, now: float) -> None:
        if self._prefill is not None or not self._waiting or now < self.busy_until:
            return
        if len(self._decoding) >= self.spec.max_running:
            return
        _, _, job = heapq.heappop(self._waiting)
        cached = self.cached_prefix(job.pieces)
        self.insert(job.pieces[:cached], now)
        missing = max(1, job.prompt_tokens - cached * self.spec.piece_tokens)
        duration = self.slowdown * missing / self.spec.prefill_tokens_per_s
        self._events.append(Started(job.job_id, now))
        self._prefill = _Prefill(job, cached, now + duration)

    def _evict_one(self) -> int:
        if self.spec.eviction is Eviction.RANDOM:
            piece = self.rng.choice(list(self.cache))
            del self.cache[piece]
            return piece
        piece, _ = self.cache.popitem(last=False)
        return piece
