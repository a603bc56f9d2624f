"""All guarantees under pairs of simultaneous faults, two or more pairs in succession.

The schedules run on real processes.
"""

from __future__ import annotations

from collections import Counter

import pytest

from bench.soak import run_soak
from bench.soak_journal import Journal

SOAK_DURATION_S = 12.0


@pytest.mark.parametrize("seed", [1, 2])
def test_random_schedule_of_faults_violates_no_guarantee(seed, tmp_path):
    journal = run_soak(seed, SOAK_DURATION_S, tmp_path)
    assert journal.violations == []
    assert journal.streams_complete > 0
    assert journal.bookings_answered
    assert len(journal.faults) >= 4


def test_journal_check_finds_each_violation():
    journal = Journal()
    journal.service_runs = Counter({"twice": 2, "refused": 1})
    journal.booking_tries = Counter({"refused": 1})
    journal.bookings_not_run = Counter({"refused": 1})
    journal.bookings_answered = {"never ran"}
    journal.booking_answers = {"two answers": {"a", "b"}}
    journal.refused_requests = {"req-1"}
    journal.engine_runs = {"req-1"}
    journal.versions = {"entry-1": [2, 1]}
    violated = [violation.guarantee for violation in journal.check()]
    assert sorted(violated) == [
        "at most once",
        "configuration",
        "not run",
        "not run",
        "own answer",
        "own answer",
    ]
