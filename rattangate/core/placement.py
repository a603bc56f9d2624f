"""Cost-based selection of the endpoint that runs a request.

The cost of an endpoint is the expected time to the first token there plus penalties, in seconds.
It takes into account the queue, the prompt blocks in the prefix cache and the network distance.
A cache store (state `CACHE_STORE`) runs no requests; it only stores cache entries for engines.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import TYPE_CHECKING

from rattangate.core.messages import EndpointState
from rattangate.core.prefill_speed import DEFAULT_S_PER_TOKEN

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from rattangate.core.endpoint_state import Endpoint
    from rattangate.core.messages import RequestArrived

# For a prompt that no endpoint has cached, rendezvous hashing chooses among the endpoints whose
# cost exceeds the lowest one by at most this share.
COLD_COST_TOLERANCE = 0.25
# Factor from one hashed prefix to the next longer one in the rendezvous score.
PREFIX_LEVEL_DECAY = 0.5
HASH_RANGE = 2.0**64
# An engine rarely evicts a block that it used within this many seconds.
RECENT_USE_S = 2.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold one endpoint and the cost of running a request there, in seconds.

    `blocks` are the block hashes of the prompt under the endpoint's weights version.
    `missing_tokens` is the number of tokens that remain to be prefilled after `fetched_tokens`
    tokens of cache entries were fetched from `source`. `permit_wait_s` is the mean time until a
    request may be sent there, part of the other times; 0 if that is now.
    """

    endpoint: Endpoint
    blocks: tuple[int, ...]
    missing_tokens: int
    first_token_s: float
    cost_s: float
    source: Endpoint | None = None
    fetched_tokens: int = 0
    permit_wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _CacheSource:
    """Hold an endpoint from which the first `cached_blocks` blocks of a prompt can be fetched.

    `rank` orders sources: more cached blocks are better. Among equals, a cache store or an engine
    that used the entries recently is less likely to have evicted them; then the endpoint with the
    lower network cost is better.
    """

    endpoint: Endpoint
    cached_blocks: int
    rank: tuple[int, bool, float]


@dataclass(frozen=True, slots=True)
class PlacementCfg:
    """Hold the parameters of the cost function.

    `recompute_weight` multiplies the prefill time, in addition to the prefill time itself.
    `fetch_s_per_token` is the time to fetch one token's cache entry from another engine; it is
    infinite where engines cannot fetch. `old_version_cost_s` is added for an endpoint that does
    not run the newest weights version. `failure_cost_s` is multiplied by the endpoint's failure
    rate in excess of the lowest rate among the candidates. Times are in seconds.
    """

    recompute_weight: float
    fetch_s_per_token: float = math.inf
    old_version_cost_s: float = 0.0
    failure_cost_s: float = 0.0


def find_candidates(
    endpoints: Iterable[Endpoint], req: RequestArrived, cfg: PlacementCfg, now: float
) -> list[Candidate]:
    """Return the endpoints that can run a request, with their costs."""
    versions = {other.weights_version: other.blocks for other in req.other_versions}
    versions[req.scope.weights_version] = req.blocks
    endpoints = tuple(endpoints)
    eligible = _find_eligible(endpoints, req, versions)
    sources: dict[str, tuple[_CacheSource, ...]] = {}
    if any(blocks for _, blocks in eligible) and not math.isinf(cfg.fetch_s_per_token):
        running_versions = {endpoint.status.weights_version for endpoint, _ in eligible}
        sources = {
            running: _best_sources(endpoints, running, versions[running], now)
            for running in running_versions
        }
    candidates = []
    for endpoint, blocks in eligible:
        version = endpoint.status.weights_version
        candidate = _estimate_cost(endpoint, blocks, req, cfg, now)
        candidate = _plan_fetch(candidate, sources.get(version, ()), cfg, now)
        if version != req.scope.weights_version:
            candidate = replace(candidate, cost_s=candidate.cost_s + cfg.old_version_cost_s)
        candidates.append(candidate)
    return _add_failure_costs(candidates, cfg, now) if cfg.failure_cost_s else candidates


def add_permit_waits(candidates: list[Candidate], waits_s: Mapping[str, float]) -> list[Candidate]:
    """Add the time until a permit for any of the endpoints that need one.

    `waits_s` holds the mean wait for a permit by endpoint, 0 where none is needed or one is at
    hand.
    """
    permits_per_s = sum(1.0 / wait_s for wait_s in waits_s.values() if wait_s)
    if not permits_per_s:
        return candidates
    wait_s = 1.0 / permits_per_s
    return [
        (
            replace(
                candidate,
                first_token_s=candidate.first_token_s + wait_s,
                cost_s=candidate.cost_s + wait_s,
                permit_wait_s=wait_s,
            )
            if waits_s[candidate.endpoint.name]
            else candidate
        )
        for candidate in candidates
    ]


def _add_failure_costs(
    candidates: list[Candidate], cfg: PlacementCfg, now: float
) -> list[Candidate]:
    """Add the expected cost of failures in excess of the lowest failure rate of all candidates."""
    failure_shares = [candidate.endpoint.failures.rate(now) for candidate in candidates]
    lowest = min(failure_shares, default=0.0)
    return [
        (
            candidate
            if share == lowest
            else replace(candidate, cost_s=candidate.cost_s + cfg.failure_cost_s * (share - lowest))
        )
        for candidate, share in zip(candidates, failure_shares, strict=True)
    ]


def _find_eligible(
    endpoints: Iterable[Endpoint], req: RequestArrived, versions: dict[str, tuple[int, ...]]
) -> list[tuple[Endpoint, tuple[int, ...]]]:
    """Return the live endpoints of the model, each with the block hashes of its weights version."""
    eligible = []
    for endpoint in endpoints:
        status = endpoint.status
        if status.state is not EndpointState.LIVE:
            continue
        if status.serves and status.serves != req.scope.model:
            continue
        blocks = versions.get(status.weights_version)
        if blocks is not None:
            eligible.append((endpoint, blocks))
    return eligible


def _best_sources(
    endpoints: Iterable[Endpoint], version: str, blocks: tuple[int, ...], now: float
) -> tuple[_CacheSource, ...]:
    """Return the two best sources: if one is the candidate itself, the other one remains."""
    first: _CacheSource | None = None
    second: _CacheSource | None = None
    for endpoint in endpoints:
        source = _find_source(endpoint, version, blocks, now)
        if source is None:
            continue
        if first is None or source.rank > first.rank:
            first, second = source, first
        elif second is None or source.rank > second.rank:
            second = source
    return tuple(source for source in (first, second) if source is not None)


def _find_source(
    endpoint: Endpoint, version: str, blocks: tuple[int, ...], now: float
) -> _CacheSource | None:
    """Return an endpoint as a source of a prompt's blocks, None if none can be fetched there."""
    status = endpoint.status
    is_cache_server = status.state is EndpointState.CACHE_STORE
    if status.state in (EndpointState.SUSPENDED, EndpointState.DOWN) or (
        not is_cache_server and status.weights_version != version
    ):
        return None
    cached_blocks = endpoint.cache.count_cached(blocks)
    if not cached_blocks:
        return None
    is_reliable = (
        is_cache_server
        or endpoint.cache.last_used_at(blocks[cached_blocks - 1]) >= now - RECENT_USE_S
    )
    return _CacheSource(
        endpoint, cached_blocks, (cached_blocks, is_reliable, -status.network_cost_s)
    )


def _plan_fetch(
    candidate: Candidate, sources: Iterable[_CacheSource], cfg: PlacementCfg, now: float
) -> Candidate:
    """Set the fetch source, and use its time in the cost if fetching is faster than prefill.

    The source is set even if it has no more cached blocks than the candidate: the engine may have
    evicted entries without a report, and a source with nothing to fetch costs almost nothing.
    """
    endpoint = candidate.endpoint
    source = next((other for other in sources if other.endpoint is not endpoint), None)
    if source is None:
        return candidate
    tokens = source.cached_blocks * endpoint.block_tokens - endpoint.cached_tokens(candidate.blocks)
    tokens = min(tokens, candidate.missing_tokens - 1)
    s_per_token = endpoint.s_per_token(now)
    if tokens <= 0 or s_per_token <= cfg.fetch_s_per_token:
        return replace(candidate, source=source.endpoint)
    fetch_s = tokens * cfg.fetch_s_per_token
    saved_s = tokens * s_per_token
    return replace(
        candidate,
        missing_tokens=candidate.missing_tokens - tokens,
        first_token_s=candidate.first_token_s - saved_s + fetch_s,
        cost_s=candidate.cost_s - (1 + cfg.recompute_weight) * saved_s + fetch_s,
        source=source.endpoint,
        fetched_tokens=tokens,
    )


def choose(candidates: list[Candidate]) -> Candidate:
    """Return the cheapest candidate.

    For a prompt that no model engine has cached, rendezvous hashing chooses among the candidates
    whose cost is close to the lowest, so that instances send the same prompt to the same endpoint.
    """
    lowest = min(candidate.cost_s for candidate in candidates)
    best = min((other for other in candidates if other.cost_s == lowest), key=_endpoint_name)
    if any(_is_concurrent(other) or _has_first_block(other) for other in candidates):
        return best
    bound = best.cost_s * (1 + COLD_COST_TOLERANCE)
    return max((other for other in candidates if other.cost_s <= bound), key=_rendezvous_score)


def _estimate_cost(
    endpoint: Endpoint,
    blocks: tuple[int, ...],
    req: RequestArrived,
    cfg: PlacementCfg,
    now: float,
) -> Candidate:
    """Return a candidate with its cost before fetches, old weights and failures are considered."""
    missing = endpoint.missing_tokens(blocks, req.prompt_tokens)
    s_per_token = endpoint.s_per_token(now)
    prefill_s = missing * s_per_token
    first_token_s = endpoint.wait_s(req.priority, now, s_per_token) + prefill_s
    cost_s = first_token_s + cfg.recompute_weight * prefill_s + endpoint.status.network_cost_s
    if endpoint.status.slots > 1:
        # Prefers the endpoint with fewer pending requests per slot, even if none has to wait.
        cost_s += prefill_s * len(endpoint.pending) / endpoint.status.slots
    return Candidate(endpoint, blocks, missing, first_token_s, cost_s)


def _is_concurrent(candidate: Candidate) -> bool:
    """Tell whether the endpoint runs several requests at a time, as services without models do."""
    return candidate.endpoint.status.slots > 1


def _has_first_block(candidate: Candidate) -> bool:
    blocks = candidate.blocks
    return bool(blocks) and blocks[0] in candidate.endpoint.cache.best_model.blocks


def _endpoint_name(candidate: Candidate) -> str:
    return candidate.endpoint.name


def _rendezvous_score(candidate: Candidate) -> float:
    """Return the rendezvous hashing score of a candidate.

    It is the sum of the hashes of nested prefixes of the prompt, with the greatest weight on the
    shortest, raised to a power that lowers the score of slower endpoints.
    """
    score = 0.0
    weight = 1.0
    index = 0
    while index < max(1, len(candidate.blocks)):
        score += weight * _unit_hash(candidate.endpoint.name, candidate.blocks, index)
        weight *= PREFIX_LEVEL_DECAY
        index = 2 * index + 1
    slowness = candidate.endpoint.speed.s_per_token / DEFAULT_S_PER_TOKEN
    return math.pow(score / 2, slowness)


def _unit_hash(name: str, blocks: tuple[int, ...], index: int) -> float:
    """Return the hash of an endpoint and one block as a number from 0 to 1."""
    block = blocks[index] if blocks else 0
    digest = blake2b(name.encode() + block.to_bytes(8, "big"), digest_size=8).digest()
    return int.from_bytes(digest, "big") / HASH_RANGE
