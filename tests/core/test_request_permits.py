"""Permits for endpoints with a limit are divided among the instances without messages."""

from __future__ import annotations

import random

import pytest

from rattangate.core.request_permits import RequestPermits

KEY = ("e1", 7)
WINDOW_S = 4.0


def make_instances(count):
    names = [f"g{number}" for number in range(count)]
    permits = {name: RequestPermits(name) for name in names}
    for instance in permits.values():
        instance.configure(names)
    return permits


def spend(permits, per_s, until, step_s=0.05, offsets=None):
    """Take each permit as soon as an instance has it; return the times."""
    taken = []
    for step in range(int(until / step_s)):
        now = step * step_s
        for name, instance in permits.items():
            instance.set_clock(1_000_000.0 + (offsets or {}).get(name, 0.0))
            while instance.is_available(KEY, per_s, now):
                instance.take(KEY, per_s, now)
                taken.append(now)
    return taken


def worst_window(taken):
    return max(
        sum(at - WINDOW_S < other <= at for other in taken[: index + 1])
        for index, at in enumerate(taken)
    )


@pytest.mark.parametrize("instances", [1, 6, 350])
@pytest.mark.parametrize("per_s", [0.2, 1.0, 7.7])
def test_all_instances_together_get_the_rate_of_the_limit(instances, per_s):
    until = 40.0 if instances > 6 else 200.0
    taken = spend(make_instances(instances), per_s, until, 0.2 if instances > 6 else 0.05)
    assert len(taken) == pytest.approx(per_s * until, abs=2)


@pytest.mark.parametrize("per_s", [0.2, 1.0, 7.7])
def test_instances_that_save_their_permits_do_not_exceed_the_limit_later(per_s):
    permits = make_instances(350)
    for now in range(60):
        for instance in permits.values():
            instance.is_available(KEY, per_s, float(now))
    at_once = sum(_take_all(instance, per_s, 59.9) for instance in permits.values())
    later = sum(_take_all(instance, per_s, 63.9) for instance in permits.values())
    assert at_once + later <= 1.5 * per_s * WINDOW_S + 5


@pytest.mark.parametrize("seed", range(3))
def test_clocks_that_differ_by_a_fifth_of_a_second_keep_the_limit(seed):
    rng = random.Random(seed)
    permits = make_instances(60)
    offsets = {name: rng.uniform(0.0, 0.2) for name in permits}
    taken = sorted(spend(permits, 2.0, 60.0, 0.1, offsets))
    assert worst_window(taken) <= 1.5 * 2.0 * WINDOW_S + 5


def test_a_joining_instance_takes_over_few_permits_of_the_others():
    before = make_instances(20)
    taken_before = _owned(before)
    names = [*before, "g20"]
    for instance in before.values():
        instance.configure(names)
    taken_after = _owned(before)
    moved = sum(taken_before[number] != taken_after.get(number) for number in taken_before)
    assert 0 < moved < 0.15 * len(taken_before)


def test_an_instance_that_does_not_know_the_others_has_no_permit():
    permits = RequestPermits("g0")
    assert not any(permits.is_available(KEY, 5.0, now / 10) for now in range(100))


def test_an_endpoint_that_accepts_none_is_asked_now_and_then():
    assert 5 <= len(spend(make_instances(6), 0.0, 100.0)) <= 11


def _take_all(instance, per_s, now):
    count = 0
    while instance.is_available(KEY, per_s, now):
        instance.take(KEY, per_s, now)
        count += 1
    return count


def _owned(permits):
    return {
        number: name
        for name, instance in permits.items()
        for number in range(400)
        if instance._owns(KEY, number)
    }
