"""Check the cache models against the engine model under each eviction rule."""

from __future__ import annotations

import random

from rattangate.core.cache_model import CachePicture, Rule
from rattangate.core.messages import CacheChanged
from rattangate.standins.engine_model import CacheDelta, EngineModel, EngineSpec, Eviction


def _drive(eviction, declared, steps=600, loss=0.0, learn=True):
    """Feed one picture from one engine and return it with its mean error in pieces."""
    rng = random.Random(3)
    engine = EngineModel(EngineSpec(cache_pieces=60, eviction=eviction), random.Random(4))
    picture = CachePicture(declared, learn)
    events = []
    seq = 0
    errors = []
    for step in range(steps):
        now = step * 0.5
        pieces = _prompt(rng)
        forecasts = picture.forecasts(pieces)
        actual = engine.cached_prefix(pieces)
        errors.append(abs(picture.cached(pieces) - actual))
        picture.use(pieces, now)
        engine.insert(pieces[:actual], now)
        engine.insert(pieces, now)
        picture.observe(pieces, forecasts, actual)
        for delta in engine.advance(now):
            assert isinstance(delta, CacheDelta)
            seq += 1
            events.append(CacheChanged("a", 1, seq, seq, delta.stored, delta.evicted))
        while len(events) > 2:
            event = events.pop(0)
            if rng.random() >= loss:
                picture.apply_events(event, now)
    half = errors[steps // 2 :]
    return picture, sum(half) / len(half)


def _prompt(rng):
    tenant = min(int(rng.paretovariate(0.8)), 8)
    document = min(int(rng.paretovariate(0.7)), 12)
    levels = [(0, i) for i in range(2)]
    levels += [(1, tenant, i) for i in range(3)]
    levels += [(2, tenant, document, i) for i in range(6)]
    return tuple(abs(hash(level)) for level in levels)


def test_lru_engine_is_predicted_exactly_with_the_right_capacity():
    picture, error = _drive(Eviction.LRU, 60)
    assert picture.best.rule is Rule.LRU
    assert error == 0.0


def test_misjudged_capacity_is_learned_from_events():
    for declared in (45, 75, 0):
        picture, error = _drive(Eviction.LRU, declared)
        assert picture.capacity == 60
        assert error < 0.05


def test_lost_events_leave_the_capacity_within_a_tenth():
    picture, error = _drive(Eviction.LRU, 75, loss=0.05)
    assert 54 <= picture.capacity <= 66
    assert picture.events_lost > 10
    assert error < 0.5


def test_fifo_engine_is_recognised():
    picture, error = _drive(Eviction.FIFO, 60)
    assert picture.best.rule is Rule.FIFO
    assert error < 0.2


def test_random_eviction_is_followed_better_with_events_than_without():
    _, learned = _drive(Eviction.RANDOM, 60)
    _, fixed = _drive(Eviction.RANDOM, 60, learn=False)
    assert learned <= fixed


def test_repeated_events_count_once():
    picture = CachePicture(10)
    event = CacheChanged("a", 1, 1, 1, (1, 2), ())
    picture.apply_events(event, 1.0)
    picture.apply_events(CacheChanged("a", 1, 2, 2, (), (1,)), 9.0)
    picture.apply_events(event, 9.1)
    assert list(picture.models[Rule.EVENTS].held) == [2]
