"""The rule that chooses an endpoint for a request."""

from __future__ import annotations

import math
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

from rattangate.core.messages import EndpointState
from rattangate.core.speeds import DEFAULT_S_PER_TOKEN

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rattangate.core.endpoint_state import Endpoint
    from rattangate.core.messages import RequestArrived

COLD_SLACK = 0.25
LEVEL_DECAY = 0.5
HASH_RANGE = 2.0**64


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold one endpoint with the cost of running a request there, in seconds."""

    endpoint: Endpoint
    pieces: tuple[int, ...]
    missing_tokens: int
    first_token_s: float
    cost_s: float


def find_candidates(
    endpoints: Iterable[Endpoint], req: RequestArrived, recompute_weight: float, now: float
) -> list[Candidate]:
    """Return the endpoints that may run a request, with their costs."""
    versions = {other.weights_version: other.pieces for other in req.other_versions}
    versions[req.scope.weights_version] = req.pieces
    found = []
    for endpoint in endpoints:
        seen = endpoint.seen
        if seen.state is not EndpointState.LIVE:
            continue
        if seen.serves and seen.serves != req.scope.model:
            continue
        pieces = versions.get(seen.weights_version)
        if pieces is None:
            continue
        found.append(_weigh(endpoint, pieces, req, recompute_weight, now))
    return found


def choose(candidates: list[Candidate]) -> Candidate:
    """Return the cheapest candidate; a prompt held nowhere goes by rendezvous hashing."""
    least = min(one.cost_s for one in candidates)
    best = min((one for one in candidates if one.cost_s == least), key=_name)
    if any(one.pieces[0] in one.endpoint.cache.best.held for one in candidates if one.pieces):
        return best
    bound = best.cost_s * (1 + COLD_SLACK)
    return max((one for one in candidates if one.cost_s <= bound), key=_rendezvous_score)


def _weigh(
    endpoint: Endpoint,
    pieces: tuple[int, ...],
    req: RequestArrived,
    recompute_weight: float,
    now: float,
) -> Candidate:
    missing = endpoint.missing_tokens(pieces, req.prompt_tokens)
    s_per_token = endpoint.s_per_token(now)
    prefill_s = missing * s_per_token
    first_token_s = endpoint.wait_s(req.priority, now, s_per_token) + prefill_s
    cost_s = first_token_s + recompute_weight * prefill_s
    return Candidate(endpoint, pieces, missing, first_token_s, cost_s)


def _name(candidate: Candidate) -> str:
    return candidate.endpoint.name


def _rendezvous_score(candidate: Candidate) -> float:
    """Score an endpoint by speed-weighted hashes of nested prefixes, the shortest counting most."""
    score = 0.0
    weight = 1.0
    index = 0
    while index < max(1, len(candidate.pieces)):
        score += weight * _unit_hash(candidate.endpoint.name, candidate.pieces, index)
        weight *= LEVEL_DECAY
        index = 2 * index + 1
    slowness = candidate.endpoint.speed.s_per_token / DEFAULT_S_PER_TOKEN
    return math.pow(score / 2, slowness)


def _unit_hash(name: str, pieces: tuple[int, ...], index: int) -> float:
    piece = pieces[index] if pieces else 0
    digest = blake2b(name.encode() + piece.to_bytes(8, "big"), digest_size=8).digest()
    return int.from_bytes(digest, "big") / HASH_RANGE
