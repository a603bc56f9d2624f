"""Check which parts of prompts are quarantined for which crashed and good runs."""

from __future__ import annotations

import pytest

from rattangate.core.poison_parts import (
    CRASHES_NEEDED,
    FIRST_QUARANTINE_S,
    MAX_QUARANTINE_S,
    CrashedRun,
    PartQuarantine,
)


def _run(number, *parts, at, ran_s=1.0, digest=None):
    name = digest if digest is not None else number.to_bytes(4, "big")
    return CrashedRun(name, parts, (f"e{number}", 1), at - ran_s, at)


def _judge(*runs, good=(), needed=CRASHES_NEEDED):
    quarantine = PartQuarantine()
    for part, began_at in good:
        quarantine.merge_good_run(part, began_at)
    quarantine.update(runs, lambda crashed: needed)
    return quarantine


def _found(quarantine):
    return {entry.parts for entry in quarantine.entries()}


def _three_runs(*parts):
    return [_run(number, *parts, at=10.0 * number) for number in (1, 2, 3)]


def test_part_of_three_different_requests_on_three_crashed_endpoints_is_quarantined():
    quarantine = _judge(*_three_runs("deadly"))
    assert quarantine.find(("common", "deadly"), 31.0) is not None
    assert quarantine.find(("common",), 31.0) is None
    assert quarantine.find(("deadly",), 30.0 + FIRST_QUARANTINE_S) is None


def test_two_crashes_quarantine_nothing():
    assert _found(_judge(*_three_runs("deadly")[:2])) == set()


def test_shared_part_with_a_good_run_since_is_free():
    runs = _three_runs("common", "deadly")
    quarantine = _judge(*runs, good=[("common", 25.0)])
    assert _found(quarantine) == {frozenset({"deadly"})}
    assert quarantine.find(("common", "other"), 31.0) is None


def test_good_run_before_the_crashes_asks_for_two_more():
    runs = [_run(number, "deadly", at=10.0 * number) for number in range(1, 6)]
    good = [("deadly", 9.0)]
    assert _found(_judge(*runs[:4], good=good)) == set()
    assert _found(_judge(*runs, good=good)) == {frozenset({"deadly"})}


def test_endpoints_that_crash_together_count_once():
    runs = [_run(number, "hot", at=10.0) for number in range(6)]
    assert _found(_judge(*runs)) == set()


def test_delay_of_peer_updates_hides_no_successive_crash():
    runs = [
        _run(1, "deadly", at=10.08),
        _run(2, "deadly", at=10.2, ran_s=0.2),
        _run(3, "deadly", at=10.4, ran_s=0.2),
    ]
    assert _found(_judge(*runs)) == {frozenset({"deadly"})}


def test_part_of_one_request_only_is_left_to_the_quarantine_of_requests():
    runs = [_run(number, "rare", at=10.0 * number, digest=b"same") for number in (1, 2, 3)]
    assert _found(_judge(*runs)) == set()


def test_parts_that_never_occurred_apart_are_refused_only_together():
    quarantine = _judge(*_three_runs("deadly", "follower"))
    assert _found(quarantine) == {frozenset({"deadly", "follower"})}
    assert quarantine.find(("follower",), 31.0) is None
    quarantine.update(
        [*_three_runs("deadly", "follower"), _run(4, "deadly", at=40.0)], lambda crashed: 3
    )
    assert _found(quarantine) == {frozenset({"deadly"})}


def test_no_verdict_while_another_part_explains_the_same_crashes():
    runs = _three_runs("deadly")
    innocent = [
        _run(number, "unlucky", at=10.0 * number, digest=b"u%d" % number) for number in (1, 2, 3)
    ]
    assert _found(_judge(*runs, *innocent)) == set()
    assert _found(_judge(*runs, *innocent, good=[("unlucky", 35.0)])) == {frozenset({"deadly"})}
    assert _found(_judge(*runs, *innocent, _run(4, "deadly", at=40.0))) == {frozenset({"deadly"})}


def test_rarer_of_two_nested_parts_at_the_same_crashes_is_quarantined():
    outer_only = _run(5, "outer", at=20.0)
    at_the_second_crash = CrashedRun(outer_only.digest, ("outer",), ("e2", 1), 19.0, 20.0)
    quarantine = _judge(*_three_runs("outer", "deadly"), at_the_second_crash)
    assert _found(quarantine) == {frozenset({"deadly"})}


def test_outer_part_that_crashed_endpoints_without_the_inner_one_is_quarantined():
    quarantine = _judge(*_three_runs("deadly", "inner"), _run(4, "deadly", at=40.0))
    assert _found(quarantine) == {frozenset({"deadly"})}


def test_entry_stays_if_more_crashes_are_needed_later():
    quarantine = _judge(*_three_runs("deadly"))
    assert quarantine.update(_three_runs("deadly"), lambda crashed: 4) == []
    assert quarantine.find(("deadly",), 31.0) is not None


def test_good_run_after_the_quarantine_ends_it():
    quarantine = _judge(*_three_runs("deadly"))
    assert quarantine.record_good_run("deadly", 200.0)
    quarantine.update(_three_runs("deadly"), lambda crashed: 3)
    assert quarantine.find(("deadly",), 31.0) is None


@pytest.mark.parametrize(
    ("crashes", "quarantine_s"), [(3, FIRST_QUARANTINE_S), (4, 240.0), (9, MAX_QUARANTINE_S)]
)
def test_quarantine_lasts_longer_with_each_further_crash(crashes, quarantine_s):
    runs = [_run(number, "deadly", at=10.0 * number) for number in range(1, crashes + 1)]
    last = 10.0 * crashes
    quarantine = _judge(*runs)
    assert quarantine.find(("deadly",), last + quarantine_s - 0.1) is not None
    assert quarantine.find(("deadly",), last + quarantine_s) is None


def test_only_a_good_run_that_refutes_a_crash_is_news_and_only_once():
    quarantine = _judge(_run(1, "part", at=10.0))
    assert not quarantine.record_good_run("other", 11.0)
    assert not quarantine.record_good_run("part", 9.0)
    assert quarantine.record_good_run("part", 11.0)
    assert not quarantine.record_good_run("part", 12.0)


def test_order_in_which_evidence_arrives_does_not_matter():
    runs = [*_three_runs("a", "b", "c"), _run(4, "a", at=40.0)]
    good = [("b", 15.0), ("c", 5.0)]
    first, second = PartQuarantine(), PartQuarantine()
    for part, at in good:
        first.merge_good_run(part, at)
    first.update(runs, lambda crashed: 3)
    for count in range(len(runs)):
        second.update(list(reversed(runs))[: count + 1], lambda crashed: 3)
    for part, at in reversed(good):
        second.merge_good_run(part, at)
    second.update(runs, lambda crashed: 3)
    assert _found(first) == _found(second) == {frozenset({"a"})}
