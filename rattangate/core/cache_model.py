"""Prediction of an engine's prefix cache, updated by placements and by reports of the engine.

Blocks are identified by their chained hashes.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattangate.core.messages import CacheChanged

# Capacity in blocks where the endpoint declares none.
DEFAULT_CAPACITY = 128
# Weight of the previous value in the moving average of the prediction error.
ERROR_DECAY = 0.9
# Relative change of the capacity estimate after a wrong prediction.
CAPACITY_STEP = 0.01
# Greatest delay of cache events, in seconds. An eviction that is reported sooner after a use of the
# block may have preceded that use.
EVENT_LAG_S = 1.0
# Added to the error of the `EVENTS` model, in blocks, when cache events were lost.
LOST_EVENTS_ERROR_BLOCKS = 0.25
# The `EVENTS` model evicts on reports, so it may exceed the capacity by this factor.
EVENTS_CAPACITY_FACTOR = 1.25


class EvictionPolicy(IntEnum):
    """Name the modelled eviction policies; on equal error the lowest value is preferred.

    `EVENTS` evicts the blocks that the engine reports as evicted.
    """

    LRU = 0
    FIFO = 1
    EVENTS = 2


@dataclass(slots=True)
class CacheModel:
    """Predict the cached blocks under one eviction policy.

    `blocks` maps each block to the time of its last use, in order of eviction; `error` is the moving
    average of the prediction error, in blocks.
    """

    policy: EvictionPolicy
    blocks: OrderedDict[int, float] = field(default_factory=OrderedDict)
    error: float = 0.0

    def count_cached(self, blocks: tuple[int, ...]) -> int:
        """Count the leading blocks that are cached."""
        known = self.blocks
        count = 0
        for block in blocks:
            if block not in known:
                break
            count += 1
        return count

    def record_use(self, blocks: tuple[int, ...], at: float, capacity: int) -> None:
        """Insert blocks in the order in which the engine uses them and evict by the policy."""
        known = self.blocks
        max_blocks = self._max_blocks(capacity)
        for block in blocks:
            if block not in known:
                while len(known) >= max_blocks:
                    known.popitem(last=False)
            elif self.policy is not EvictionPolicy.FIFO:
                known.move_to_end(block)
            known[block] = at

    def store(self, blocks: tuple[int, ...], now: float, capacity: int) -> None:
        """Insert blocks that the engine reported as stored.

        A full LRU or FIFO model is ahead of the reports, which arrive late, and ignores them.
        """
        max_blocks = self._max_blocks(capacity)
        for block in blocks:
            if block in self.blocks:
                continue
            if len(self.blocks) >= max_blocks:
                if self.policy is not EvictionPolicy.EVENTS:
                    return
                self.blocks.popitem(last=False)
            self.blocks[block] = now

    def evict(self, blocks: tuple[int, ...], now: float) -> None:
        """Remove blocks that the engine reported as evicted, unless they were used since."""
        for block in blocks:
            last_used_at = self.blocks.get(block)
            if last_used_at is not None and last_used_at < now - EVENT_LAG_S:
                del self.blocks[block]

    def _max_blocks(self, capacity: int) -> int:
        return (
            int(capacity * EVENTS_CAPACITY_FACTOR)
            if self.policy is EvictionPolicy.EVENTS
            else capacity
        )


class CachePredictor:
    """Predict an engine's cache by the model with the lowest recent error.

    `capacity` is the estimated cache size in blocks; `best_model` is the model in use; `learn` says
    whether models and capacity are corrected by the engine's reports.
    """

    def __init__(self, declared_capacity: int, learn: bool = True) -> None:
        self.capacity = float(declared_capacity or DEFAULT_CAPACITY)
        # The models can only be compared if the engine reports its cached tokens.
        self.models = tuple(
            CacheModel(policy) for policy in (EvictionPolicy if learn else (EvictionPolicy.LRU,))
        )
        self.best_model = self.models[0]
        self.learn = learn
        self.events_lost = 0
        self._next_seq = 1
        self._size_from_events: int | None = 0
        self._capacity_from_events = False

    def count_cached(self, blocks: tuple[int, ...]) -> int:
        """Predict how many leading blocks the engine has cached."""
        return self.best_model.count_cached(blocks)

    def last_used_at(self, block: int) -> float:
        """Return the time of a block's last use, minus infinity if it is not cached."""
        return self.best_model.blocks.get(block, -math.inf)

    def predictions(self, blocks: tuple[int, ...]) -> tuple[int, ...]:
        """Return the number of cached leading blocks that each model predicts."""
        return tuple(model.count_cached(blocks) for model in self.models)

    def record_use(self, blocks: tuple[int, ...], at: float) -> None:
        """Record a placement whose prefill is expected to end at `at`."""
        for model in self.models:
            model.record_use(blocks, at, int(self.capacity))

    def observe(self, blocks: tuple[int, ...], predictions: tuple[int, ...], cached: int) -> None:
        """Compare the number of cached blocks that the engine reported with each prediction."""
        if not self.learn:
            return
        cached = min(cached, len(blocks))
        for model, prediction in zip(self.models, predictions, strict=True):
            model.error = model.error * ERROR_DECAY + abs(prediction - cached) * (1 - ERROR_DECAY)
        self.best_model = min(self.models, key=_selection_key)
        if not self._capacity_from_events:
            self._adjust_capacity(cached - predictions[EvictionPolicy.LRU])

    def apply_events(self, msg: CacheChanged, now: float) -> None:
        """Apply cache events of the engine and count lost ones by gaps in the sequence numbers."""
        if msg.last_seq < self._next_seq:
            return
        lost = msg.first_seq - self._next_seq
        if lost > 0:
            self._record_lost_events(lost)
        self._next_seq = msg.last_seq + 1
        if self.learn:
            self.models[EvictionPolicy.EVENTS].evict(msg.evicted, now)
        for model in self.models:
            model.store(msg.stored, now, int(self.capacity))
        self._learn_capacity(len(msg.stored), len(msg.evicted))

    def restore(self, blocks: tuple[int, ...], capacity: int, now: float) -> None:
        """Adopt the cache contents of a peer or a snapshot if they have more blocks.

        Blocks that are known already count as used more recently than the adopted ones.
        """
        if len(blocks) <= len(self.best_model.blocks):
            return
        if capacity:
            self.capacity = float(capacity)
        for model in self.models:
            known = tuple(model.blocks)
            model.record_use(blocks, now - EVENT_LAG_S, int(self.capacity))
            model.record_use(known, now, int(self.capacity))

    def _record_lost_events(self, lost: int) -> None:
        """Count lost events; without those from the start, the cache size cannot be summed up."""
        self.events_lost += lost
        if self.learn:
            self.models[EvictionPolicy.EVENTS].error += LOST_EVENTS_ERROR_BLOCKS
        if self._next_seq == 1:
            self._size_from_events = None

    def _learn_capacity(self, stored: int, evicted: int) -> None:
        """Set the capacity to the cache size, summed up from the events, when the engine evicts."""
        if self._size_from_events is None or not self.learn:
            return
        self._size_from_events += stored - evicted
        if evicted and self._size_from_events > 0:
            self.capacity = float(self._size_from_events)
            self._capacity_from_events = True

    def _adjust_capacity(self, surplus: int) -> None:
        """Correct the capacity by a step if the engine cached more or less than predicted."""
        if surplus == 0:
            return
        step = CAPACITY_STEP if surplus > 0 else -CAPACITY_STEP
        self.capacity = max(1.0, self.capacity * (1 + step))


def _selection_key(model: CacheModel) -> tuple[float, int]:
    # Errors that are equal after rounding leave the choice to the order of the policies.
    return (round(model.error, 2), model.policy)
