"""Collect what an instance and its peers know of runs on parts of prompts, and judge the parts."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from typing import TYPE_CHECKING
from zlib import crc32

from rattangate.core.messages import GoodRun, Verdict, VerdictChanged
from rattangate.core.poison_parts import PartQuarantine
from rattangate.core.quarantine import PROPAGATION_S, QUARANTINE_S, RESEND_S, RESENDS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rattangate.core.active_requests import ActiveRequest
    from rattangate.core.messages import QuarantineChange
    from rattangate.core.poison_parts import PoisonParts
    from rattangate.core.quarantine import Quarantine

# An endpoint that produces tokens of an answer for this long does not crash under its prompt.
SURVIVAL_S = 1.0
# Number of parts of prompts whose last good run an instance remembers.
MAX_GOOD_RUNS = 4096
# Good runs that are passed to a peer when a connection to it opens, the newest ones.
MAX_PASSED_ON = 4096
# How many instances, on average, tell at once of a good run that all have seen; the others tell
# only if none of them has within this time.
PROMPT_TELLERS = 8
TELL_DELAY_S = 0.5
HASH_RANGE = 2.0**32
# Interval of judging the parts of prompts while there is new evidence.
JUDGE_INTERVAL_S = 0.2


class PartEvidence:
    """Gather the good runs on parts of prompts and judge them with the crashed runs.

    The crashed runs are those of the failures that `quarantine` holds. `part_quarantine` has the
    parts in quarantine. `instance` is the name of this one.
    """

    def __init__(self, instance: str, quarantine: Quarantine) -> None:
        self.part_quarantine = PartQuarantine()
        self._instance = instance
        self._quarantine = quarantine
        self._good_runs: OrderedDict[str, float] = OrderedDict()
        self._unsent: set[str] = set()
        self._resends: dict[str, int] = {}
        # The parts whose good runs this instance tells of at a time, unless a peer does before.
        self._tell_at: dict[str, float] = {}
        self._answers_begun: deque[tuple[float, ActiveRequest]] = deque()
        self._judge_until = -math.inf
        self._next_judge_at = -math.inf
        self._resend_at = 0.0
        self._changes: list[QuarantineChange] = []

    @property
    def has_unsent(self) -> bool:
        """Tell whether peers were not told of all good runs."""
        return bool(self._unsent)

    def suspect_parts(self, request: ActiveRequest, now: float) -> tuple[str, ...]:
        """Return the parts that a lost attempt makes suspect, none if its answer ran for long."""
        began_at = request.first_token_at
        if began_at is not None and now > began_at + SURVIVAL_S:
            return ()
        return request.req.parts

    def recall_good_runs(self, parts: Iterable[str], peers: int, now: float) -> None:
        """Tell peers, of whom there are `peers`, of the last good runs of parts that became suspect.

        With many peers a few tell at once, and the others only if none of those knows a good run.
        """
        for part in parts:
            if part not in self._good_runs or self.part_quarantine.has_good_run(part):
                continue
            place = crc32(f"{part}/{self._instance}".encode()) / HASH_RANGE
            is_prompt = place * (peers + 1) < PROMPT_TELLERS
            self._tell_at.setdefault(part, now if is_prompt else now + TELL_DELAY_S)
        self._tell_due(now)

    def record_first_token(self, request: ActiveRequest, now: float) -> None:
        """Note when an answer began, which is a good run once it has gone on for long enough."""
        if request.req.parts:
            self._answers_begun.append((now, request))

    def record_survivors(self, now: float) -> None:
        """Record the answers that have gone on for long enough as good runs."""
        while self._answers_begun and now > self._answers_begun[0][0] + SURVIVAL_S:
            began_at, request = self._answers_begun.popleft()
            if request.placed_on is not None and request.first_token_at == began_at:
                self.record_good_run(request, began_at, now)

    def record_good_run(self, request: ActiveRequest, began_at: float, now: float) -> None:
        """Record that an answer on the parts of a request began and went well."""
        for part in request.req.parts:
            self._good_runs[part] = began_at
            self._good_runs.move_to_end(part)
            if len(self._good_runs) > MAX_GOOD_RUNS:
                self._good_runs.popitem(last=False)
            if self.part_quarantine.record_good_run(part, began_at):
                self._tell(part)
                self._judge_soon(now)

    def merge(self, good_runs: Iterable[GoodRun], now: float) -> None:
        """Merge the good runs that a peer has told of."""
        for good_run in good_runs:
            self.part_quarantine.merge_good_run(good_run.part, now - good_run.age_s)
            self._judge_soon(now)

    def release(self, digest: bytes, now: float) -> None:
        """Release the parts of one entry as if an answer on them had gone well now."""
        for entry in self.part_quarantine.entries():
            if entry.digest != digest:
                continue
            for part in entry.parts:
                self.part_quarantine.merge_good_run(part, now)
                self._tell(part)
            self._judge_soon(now)

    def good_runs(self, now: float) -> tuple[GoodRun, ...]:
        """Return the good runs that peers were not told of often enough."""
        self._tell_due(now)
        if now >= self._resend_at:
            self._resend_at = now + RESEND_S
            self.part_quarantine.expire(now - QUARANTINE_S)
            self._unsent.update(self._resends)
            self._resends = {part: count - 1 for part, count in self._resends.items() if count > 1}
        unsent, self._unsent = self._unsent, set()
        known = self.part_quarantine.good_runs()
        return tuple(GoodRun(part, now - at) for part, at in known if part in unsent)

    def known_good_runs(self, now: float) -> tuple[GoodRun, ...]:
        """Return the good runs of suspect parts, for a peer that may have missed some of them."""
        newest = sorted(self.part_quarantine.good_runs(), key=lambda run: run[1])[-MAX_PASSED_ON:]
        return tuple(GoodRun(part, now - at) for part, at in newest)

    def judge(self, now: float) -> list[PoisonParts]:
        """Apply new evidence to the parts of prompts; return those quarantined since last time."""
        if self._quarantine.take_new_evidence():
            self._judge_until = now + PROPAGATION_S + 2 * JUDGE_INTERVAL_S
        if now > self._judge_until or now < self._next_judge_at:
            return []
        self._next_judge_at = now + JUDGE_INTERVAL_S
        runs = self._quarantine.crashed_runs()
        # Several instances report the runs of one crash.
        settled = [run for run in runs if run.ended_at <= now - PROPAGATION_S]
        before = {entry.parts for entry in self.part_quarantine.entries()}
        added = self.part_quarantine.update(settled, self._quarantine.crashes_needed)
        after = {entry.parts for entry in self.part_quarantine.entries()}
        for entry in added:
            self._report_verdict(entry.parts, Verdict.GUILTY, entry.crashes)
        for parts in before - after:
            self._report_verdict(parts, Verdict.FREE, 0)
        crashed = (entry.endpoints for entry in self.part_quarantine.entries())
        self._quarantine.attribute(frozenset().union(*crashed))
        return added

    def take_changes(self) -> list[QuarantineChange]:
        """Return the changes of verdicts since the last call."""
        taken, self._changes = self._changes, []
        return taken

    def _tell(self, part: str) -> None:
        """Tell peers of a good run with the next update, and again later."""
        self._unsent.add(part)
        self._resends[part] = RESENDS

    def _tell_due(self, now: float) -> None:
        """Tell of the good runs that are due and of which no peer has told."""
        due = [part for part, at in self._tell_at.items() if at <= now]
        for part in due:
            del self._tell_at[part]
            began_at = self._good_runs.get(part)
            if began_at is not None and not self.part_quarantine.has_good_run(part):
                self.part_quarantine.merge_good_run(part, began_at)
                self._tell(part)

    def _judge_soon(self, now: float) -> None:
        self._judge_until = max(self._judge_until, now + 2 * JUDGE_INTERVAL_S)

    def _report_verdict(self, parts: frozenset[str], verdict: Verdict, crashes: int) -> None:
        self._changes.append(VerdictChanged("+".join(sorted(parts)), verdict, crashes))
