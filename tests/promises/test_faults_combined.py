"""All promises under two faults at once and twice in a row, on real processes."""

from __future__ import annotations

from collections import Counter

import pytest

from bench.soak import run_soak
from bench.soak_journal import Journal

SECONDS = 12.0


@pytest.mark.parametrize("seed", [1, 2])
def test_a_schedule_of_faults_breaks_no_promise(seed, tmp_path):
    journal = run_soak(seed, SECONDS, tmp_path)
    assert journal.violations == []
    assert journal.streams_whole > 0
    assert journal.bookings_answered
    assert len(journal.faults) >= 4


def test_the_checker_finds_each_broken_promise():
    journal = Journal()
    journal.service_runs = Counter({"twice": 2, "refused": 1})
    journal.booking_tries = Counter({"refused": 1})
    journal.bookings_not_run = Counter({"refused": 1})
    journal.bookings_answered = {"never ran"}
    journal.booking_answers = {"two answers": {"a", "b"}}
    journal.refused_requests = {"req-1"}
    journal.engine_runs = {"req-1"}
    journal.versions = {"entry-1": [2, 1]}
    found = [violation.promise for violation in journal.check()]
    assert sorted(found) == [
        "at most once",
        "configuration",
        "not run",
        "not run",
        "own answer",
        "own answer",
    ]
