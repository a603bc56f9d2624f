"""The journal of a soak run and the checks of the guarantees on it."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Violation:
    """Hold a guarantee that a run violated, and the evidence."""

    guarantee: str
    evidence: str


@dataclass
class Journal:
    """Record what callers, operators and endpoints observed.

    Bookings are identified by idempotency keys; `service_runs` counts the executions of each key.
    """

    streams_complete: int = 0
    streams_refused: int = 0
    streams_broken: int = 0
    bookings_answered: set[str] = field(default_factory=set)
    bookings_not_run: Counter[str] = field(default_factory=Counter)
    bookings_unknown: set[str] = field(default_factory=set)
    booking_tries: Counter[str] = field(default_factory=Counter)
    booking_answers: dict[str, set[str]] = field(default_factory=dict)
    refused_requests: set[str] = field(default_factory=set)
    engine_runs: set[str] = field(default_factory=set)
    service_runs: Counter[str] = field(default_factory=Counter)
    versions: dict[str, list[int]] = field(default_factory=dict)
    accepted: set[int] = field(default_factory=set)
    faults: list[str] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)

    def record_violation(self, guarantee: str, evidence: str) -> None:
        """Record the violation of a guarantee."""
        self.violations.append(Violation(guarantee, evidence))

    def check(self) -> list[Violation]:
        """Check the guarantees that concern the whole run, and return all violations."""
        for key, runs in self.service_runs.items():
            if runs > 1:
                self.record_violation("at most once", f"{key} ran {runs} times")
        for key, count in self.bookings_not_run.items():
            if count == self.booking_tries[key] and self.service_runs[key]:
                self.record_violation("not run", f"{key} was refused {count} times and ran")
        for key in self.bookings_answered:
            if not self.service_runs[key]:
                self.record_violation("own answer", f"{key} was answered and never ran")
        for key, answers in self.booking_answers.items():
            if len(answers) > 1:
                self.record_violation("own answer", f"{key} got {len(answers)} different answers")
        for request_id in self.refused_requests & self.engine_runs:
            self.record_violation("not run", f"{request_id} was refused as not run and ran")
        for instance, versions in self.versions.items():
            if versions != sorted(versions):
                self.record_violation(
                    "configuration", f"{instance} went back to an older version: {versions}"
                )
        return self.violations
