"""A part of prompts crashes every engine that begins to answer a request with it.

Each request with the part is different and arrives at another instance, among sound requests of the
same callers that share its other parts.
"""

from __future__ import annotations

from hashlib import blake2b
from zlib import crc32

import pytest

from rattangate.core.refusals import RefusalReason
from tests.simulated_deployment import SimulatedDeployment

CONTACT_S = 3.0
CRASHES_BEFORE_VERDICT = 5
MAX_SENT_AFTER_VERDICT = 3
DEADLY = "deadly"
SUBJECTS = 6
POISON_FROM_S = 6.0
END_S = 40.0


class _Load:
    """Send requests of six subjects; a share of one subject's has the deadly part."""

    def __init__(self, simulation, share, repeatable, per_s=14.0):
        self.sound = []
        self.poisoned = []
        self._simulation = simulation
        self._share = share
        self._repeatable = repeatable
        at = 0.0
        number = 0
        while at < END_S:
            at += simulation.rng.expovariate(per_s)
            number += 1
            simulation.at(at, self._send, number)

    def _send(self, number):
        simulation = self._simulation
        subject = simulation.rng.randrange(SUBJECTS)
        is_poisoned = simulation.now > POISON_FROM_S and simulation.rng.random() < self._share
        parts = ("common", f"subject-{subject}", f"chapter-{number % 40}")
        if is_poisoned:
            parts = (parts[0], DEADLY, *parts[1:])
        digest = blake2b(number.to_bytes(8, "big"), digest_size=16).digest()
        instance = simulation.rng.choice(list(simulation.gateways))
        blocks = tuple(crc32(part.encode()) for part in parts[:-1])
        req_id = simulation.send(
            instance,
            digest,
            blocks,
            8100,
            max_tokens=20,
            repeatable=self._repeatable,
            parts=parts,
        )
        (self.poisoned if is_poisoned else self.sound).append(simulation.outcomes[req_id])


def _run(seed, share, repeatable, crash_after_s, instances=6):
    simulation = SimulatedDeployment(instances=instances, seed=seed)
    simulation.poison_parts[DEADLY] = crash_after_s
    load = _Load(simulation, share, repeatable)
    simulation.run(END_S)
    return simulation, load


def _sent_after(outcomes, when):
    return sum(at > when for outcome in outcomes for at, _ in outcome.dispatches)


def _served_share(outcomes, begin, end):
    arrived = [outcome for outcome in outcomes if begin <= outcome.arrived_at < end]
    return sum(outcome.completed for outcome in arrived) / len(arrived)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("share", [0.05, 0.2])
@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize("crash_after_s", [0.0, 0.15])
def test_a_deadly_prompt_part_is_stopped_although_no_two_requests_are_alike(
    seed, share, repeatable, crash_after_s
):
    simulation, load = _run(seed, share, repeatable, crash_after_s)
    crashed_at = [at for at, _ in simulation.crashes]
    if len(crashed_at) >= CRASHES_BEFORE_VERDICT:
        verdict_due = crashed_at[CRASHES_BEFORE_VERDICT - 1] + CONTACT_S
        assert _sent_after(load.poisoned, verdict_due) <= MAX_SENT_AFTER_VERDICT
    assert load.poisoned[-1].refusal.reason is RefusalReason.QUARANTINED
    refused = [outcome.refusal.reason for outcome in load.sound if outcome.refusal]
    assert RefusalReason.QUARANTINED not in refused
    settled = crashed_at[min(len(crashed_at), CRASHES_BEFORE_VERDICT) - 1] + 2 * CONTACT_S
    assert _served_share(load.sound, settled, END_S - 5.0) >= 0.5
