"""Simulated engines that name a request rate in their answers, and the judgement on it."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from hashlib import blake2b

from rattangate.core.messages import EndpointLimitReported
from rattangate.standins.engine_model import FirstToken
from tests.simulated_deployment import SimulatedDeployment

CONTACT_S = 3.0
WINDOW_S = 4.0
TOLD_S = 0.5
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5


@dataclass(frozen=True)
class NamedLimit:
    """Hold the requests a second that an engine names between two times."""

    per_s: float
    since: float
    until: float


class LimitedDeployment(SimulatedDeployment):
    """Let engines name limits in the answers to the instances that sent the requests."""

    def __init__(self, limits, **options):
        super().__init__(**options)
        self.arrivals = defaultdict(list)
        self.told_at = defaultdict(dict)
        self._limits = limits
        self._sent_at = {}
        self._number = 0

    def offer(self, instances, per_s, until, blocks=6, **options):
        """Send requests of a few prompts, no two alike, to random instances."""
        at = self.now
        while at < until:
            at += self.rng.expovariate(per_s)
            self._number += 1
            self.at(at, self._offer_one, instances, self._number, blocks, options)

    def excess(self, endpoint, begin, until):
        """Return by how many requests the worst window exceeds what the limit allows.

        Each incarnation of the engine is judged by what it told itself.
        """
        limit = self._limits[endpoint]
        allowed = EXCESS_FACTOR * limit.per_s * WINDOW_S + EXCESS_REQUESTS
        incarnations = range(1, self.incarnations[endpoint] + 1)
        worst = max(
            self._worst_window((endpoint, incarnation), begin, until)
            for incarnation in incarnations
        )
        return worst - allowed

    def _worst_window(self, key, begin, until):
        told_at = self.told_at[key]
        counted = [
            at
            for at, instance in self.arrivals[key]
            if at <= until and told_at.get(instance, until) + TOLD_S <= at
        ]
        worst = 0
        for index, at in enumerate(counted):
            if at >= begin:
                worst = max(worst, sum(at - WINDOW_S < other for other in counted[: index + 1]))
        return worst

    def arrived(self, endpoint, begin, end):
        """Return the number of requests that an engine got in an interval."""
        return sum(
            begin <= at < end
            for (name, _), arrivals in self.arrivals.items()
            if name == endpoint
            for at, _ in arrivals
        )

    def _offer_one(self, instances, number, blocks, options):
        digest = blake2b(number.to_bytes(8, "big"), digest_size=16).digest()
        shared = (number % blocks,)
        self.send(self.rng.choice(instances), digest, shared, **options)

    def _submit(self, instance, sent):
        key = (sent.endpoint, self.incarnations[sent.endpoint])
        self.arrivals[key].append((self.now, instance))
        self._sent_at[sent.req_id, sent.attempt] = self.now
        super()._submit(instance, sent)

    def _report(self, event):
        if not isinstance(event, FirstToken):
            super()._report(event)
            return
        job = self._jobs.get(event.job_id)
        super()._report(event)
        sent_at = self._sent_at.pop(event.job_id, None)
        if job is None or sent_at is None:
            return
        endpoint, instance, _ = job
        limit = self._limits.get(endpoint)
        named = limit is not None and limit.since <= self.now < limit.until
        if named:
            key = (endpoint, self.incarnations[endpoint])
            self.told_at[key].setdefault(instance, self.now)
        per_s = limit.per_s if named else None
        report = EndpointLimitReported(endpoint, self.incarnations[endpoint], per_s, sent_at)
        self.deliver(instance, report)
