"""Check the cache models against a simulated engine under each eviction policy."""

from __future__ import annotations

import random

from rattangate.core.cache_model import CachePredictor, EvictionPolicy
from rattangate.core.messages import CacheChanged
from rattangate.standins.engine_model import CacheDelta, EngineModel, EngineSpec, Eviction


def _run_engine(eviction, declared, steps=600, event_loss=0.0, learn=True):
    """Run prompts through an engine and a predictor of its cache.

    Returns the predictor and its mean error, in blocks, over the second half of the steps.
    """
    rng = random.Random(3)
    engine = EngineModel(EngineSpec(cache_pieces=60, eviction=eviction), random.Random(4))
    predictor = CachePredictor(declared, learn)
    events = []
    seq = 0
    errors = []
    for step in range(steps):
        now = step * 0.5
        blocks = _prompt(rng)
        predictions = predictor.predictions(blocks)
        actual = engine.cached_prefix(blocks)
        errors.append(abs(predictor.count_cached(blocks) - actual))
        predictor.record_use(blocks, now)
        engine.insert(blocks[:actual], now)
        engine.insert(blocks, now)
        predictor.observe(blocks, predictions, actual)
        for delta in engine.advance(now):
            assert isinstance(delta, CacheDelta)
            seq += 1
            events.append(CacheChanged("a", 1, seq, seq, delta.stored, delta.evicted))
        while len(events) > 2:
            event = events.pop(0)
            if rng.random() >= event_loss:
                predictor.apply_events(event, now)
    second_half = errors[steps // 2 :]
    return predictor, sum(second_half) / len(second_half)


def _prompt(rng):
    workspace = min(int(rng.paretovariate(0.8)), 8)
    document = min(int(rng.paretovariate(0.7)), 12)
    levels = [(0, i) for i in range(2)]
    levels += [(1, workspace, i) for i in range(3)]
    levels += [(2, workspace, document, i) for i in range(6)]
    return tuple(abs(hash(level)) for level in levels)


def test_lru_engine_with_known_capacity_is_predicted_exactly():
    predictor, error = _run_engine(Eviction.LRU, 60)
    assert predictor.best_model.policy is EvictionPolicy.LRU
    assert error == 0.0


def test_wrong_declared_capacity_is_corrected_by_events():
    for declared in (45, 75, 0):
        predictor, error = _run_engine(Eviction.LRU, declared)
        assert predictor.capacity == 60
        assert error < 0.05


def test_capacity_estimate_is_within_ten_percent_despite_lost_events():
    predictor, error = _run_engine(Eviction.LRU, 75, event_loss=0.05)
    assert 54 <= predictor.capacity <= 66
    assert predictor.events_lost > 10
    assert error < 0.5


def test_fifo_eviction_is_detected():
    predictor, error = _run_engine(Eviction.FIFO, 60)
    assert predictor.best_model.policy is EvictionPolicy.FIFO
    assert error < 0.2


def test_learning_from_events_is_no_worse_under_random_eviction():
    _, learned = _run_engine(Eviction.RANDOM, 60)
    _, fixed = _run_engine(Eviction.RANDOM, 60, learn=False)
    assert learned <= fixed


def test_duplicate_events_are_applied_once():
    predictor = CachePredictor(10)
    event = CacheChanged("a", 1, 1, 1, (1, 2), ())
    predictor.apply_events(event, 1.0)
    predictor.apply_events(CacheChanged("a", 1, 2, 2, (), (1,)), 9.0)
    predictor.apply_events(event, 9.1)
    assert list(predictor.models[EvictionPolicy.EVENTS].blocks) == [2]
