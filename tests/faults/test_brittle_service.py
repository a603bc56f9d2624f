"""Endpoints that fall over if they must reject too many requests for want of room."""

from __future__ import annotations

from collections import defaultdict
from functools import cache

import pytest

from rattangate.core.messages import (
    AttemptEnded,
    AttemptResult,
    BrittlenessReported,
    RequestRejected,
)
from rattangate.standins.engine_model import EngineSpec, FirstToken
from tests.limited_deployment import LimitedDeployment
from tests.simulated_deployment import REQUEST_DELAY_S

BRITTLE_SINCE_S = 5.0
CONTACT_S = 3.0
UNTIL_S = 20.0
MAX_REJECTIONS_PER_S = 5
WAITING_ROOM = 4
NO_TWO_ALIKE = 1_000_000


# Instances, load in requests a second, and seed; six engines can serve 60 such requests a second.
LOADS = [
    (1, 90.0, 1),
    (6, 45.0, 1),
    (6, 60.0, 1),
    (6, 60.0, 2),
    (6, 90.0, 1),
    (6, 90.0, 2),
]


class BrittleDeployment(LimitedDeployment):
    """Let engines say that they are brittle, have little room, and crash by rejections."""

    def __init__(self, tells=True, **options):
        super().__init__({}, **options)
        self.falls = []
        self.rejections = []
        self._tells = tells
        self._recent_rejections = defaultdict(list)

    def falls_allowed(self):
        """Return how often the engines may fall over in one time of brittleness."""
        return 2 + len(self.engines) / 10

    def _submit(self, instance, sent):
        waiting = sum(where == sent.endpoint for where, _, _ in self._unfinished())
        is_short = self.now >= BRITTLE_SINCE_S + CONTACT_S
        if not is_short or waiting < WAITING_ROOM or sent.endpoint in self.down:
            super()._submit(instance, sent)
            return
        self._reject(instance, sent)

    def _unfinished(self):
        """Return the jobs whose first token has not come."""
        return [job for key, job in self._jobs.items() if not self._has_begun(key)]

    def _has_begun(self, key):
        return key in self._begun

    def _reject(self, instance, sent):
        self.rejections.append((self.now, sent.endpoint))
        refused = AttemptEnded(sent.req_id, sent.attempt, AttemptResult.REFUSED)
        self.at(self.now + REQUEST_DELAY_S, self._answer, instance, sent.endpoint, self.now)
        if self._tells:
            rejected = RequestRejected(sent.endpoint, self.incarnations[sent.endpoint])
            self.at(self.now + REQUEST_DELAY_S, self.deliver, instance, rejected)
        self.at(self.now + REQUEST_DELAY_S, self.deliver, instance, refused)
        recent = self._recent_rejections[sent.endpoint]
        recent[:] = [at for at in recent if at > self.now - 1.0] + [self.now]
        if len(recent) > MAX_REJECTIONS_PER_S:
            recent.clear()
            self.falls.append((self.now, sent.endpoint))
            self.crash(sent.endpoint)

    def _answer(self, instance, endpoint, sent_at):
        if self._tells and self.now >= BRITTLE_SINCE_S:
            incarnation = self.incarnations[endpoint]
            named = BrittlenessReported(endpoint, incarnation, MAX_REJECTIONS_PER_S, sent_at)
            self.deliver(instance, named)

    def _report(self, event):
        job = self._jobs.get(event.job_id) if isinstance(event, FirstToken) else None
        if job is not None:
            self._begun.add(event.job_id)
            self._answer(job[1], job[0], self.now)
        super()._report(event)

    @property
    def _begun(self):
        return self.__dict__.setdefault("begun", set())


@cache
def _run(instances, load_per_s, seed, tells=True, crash_at=None):
    simulation = BrittleDeployment(
        tells,
        instances=instances,
        seed=seed,
        specs=[EngineSpec(decode_tokens_per_s=100.0)] * 6,
        max_endpoint_wait_s=0.3,
    )
    simulation.offer(list(simulation.gateways), load_per_s, UNTIL_S, NO_TWO_ALIKE, max_tokens=5)
    if crash_at is not None:
        simulation.at(crash_at, simulation.crash, "e0")
        simulation.at(crash_at, simulation.crash, "e1")
    simulation.run(UNTIL_S)
    return simulation


@pytest.mark.parametrize(("instances", "load_per_s", "seed"), LOADS)
def test_brittle_endpoints_are_not_made_to_fall_over(instances, load_per_s, seed):
    simulation = _run(instances, load_per_s, seed)
    assert len(simulation.falls) <= simulation.falls_allowed()


def test_brittle_endpoints_are_not_made_to_fall_over_by_many_instances():
    simulation = _run(40, 90.0, seed=1)
    assert len(simulation.falls) <= simulation.falls_allowed()


@pytest.mark.parametrize("seed", [1, 2])
def test_brittle_endpoints_stand_when_others_crash(seed):
    simulation = _run(6, 50.0, seed, crash_at=12.0)
    assert len(simulation.falls) <= simulation.falls_allowed()


@pytest.mark.parametrize(("load_per_s", "share"), [(45.0, 0.9), (60.0, 1.0), (90.0, 1.0)])
def test_callers_of_brittle_endpoints_are_served_as_well_as_without_care(load_per_s, share):
    served = [
        sum(outcome.completed for outcome in _run(6, load_per_s, 1, tells).outcomes.values())
        for tells in (True, False)
    ]
    assert served[0] >= share * served[1]
