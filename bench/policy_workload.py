"""The deployments and the seeded workload of the routing policy benchmark."""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import cache
from hashlib import blake2b
from itertools import accumulate

from rattangate.standins.engine_model import EngineSpec, Eviction

PIECE_TOKENS = 4000
BASE_PREFILL_TOKENS_PER_S = 40_000
CAPACITY_HIT_RATE = 0.7
WORKSPACE_SHARES = (0.34, 0.24, 0.16, 0.08, 0.06, 0.05, 0.04, 0.03)
TENANTS = 3
DOCUMENTS = 24
ZIPF_EXPONENT = 1.0
SYSTEM_PIECES = 2
TENANT_PIECES = 3
MIN_DOCUMENT_PIECES = 6
MAX_DOCUMENT_PIECES = 14
MAX_TAIL_TOKENS = 3000
MIN_ANSWER_TOKENS = 40
MAX_ANSWER_TOKENS = 200


@dataclass(frozen=True, slots=True)
class Deployment:
    """Describe one deployment; delays are one-way network latencies in seconds.

    `speeds` are factors of the base prefill rate, one for each engine.
    """

    name: str
    speeds: tuple[float, ...]
    cache_pieces: tuple[int, ...]
    instances: int
    caller_delay_s: float
    inner_delay_s: float
    recompute_weight: float

    @property
    def prefill_tokens_per_s(self) -> float:
        """Return the prefill rate of all engines together."""
        return BASE_PREFILL_TOKENS_PER_S * sum(self.speeds)

    def engine_spec(self, index: int, eviction: Eviction) -> EngineSpec:
        """Return the specification of one engine."""
        return EngineSpec(
            piece_tokens=PIECE_TOKENS,
            cache_pieces=self.cache_pieces[index],
            prefill_tokens_per_s=BASE_PREFILL_TOKENS_PER_S * self.speeds[index],
            eviction=eviction,
        )


MAGNOLIA_BEND = Deployment(
    "magnolia-bend",
    (1.6, 1.3, 1.0, 1.0, 0.7, 0.5),
    (160, 144, 128, 128, 112, 96),
    7,
    0.001,
    0.0005,
    1.0,
)
SADAF = Deployment(
    "sadaf", (1.5, 1.2, 1.0, 0.8, 0.5), (176, 160, 144, 128, 112), 6, 0.003, 0.001, 1.0
)
DEPLOYMENTS = (MAGNOLIA_BEND, SADAF)


@dataclass(frozen=True, slots=True)
class Document:
    """Identify the shared prefix of a prompt: system, tenant and document level.

    `pieces` is the size of the document level.
    """

    workspace: int
    tenant: int
    number: int
    pieces: int

    @property
    def prefix_pieces(self) -> int:
        """Return the number of complete blocks of all three levels."""
        return SYSTEM_PIECES + TENANT_PIECES + self.pieces

    def hashes(self, version: str) -> tuple[int, ...]:
        """Return the hashes of the blocks for a weights version."""
        return _hash_levels(version, self.workspace, self.tenant, self.number, self.pieces)


@dataclass(frozen=True, slots=True)
class Arrival:
    """Describe one request of a caller to an entry instance."""

    req_id: int
    at: float
    instance: int
    document: Document
    prompt_tokens: int
    answer_tokens: int

    @property
    def workspace(self) -> int:
        """Return the caller's workspace."""
        return self.document.workspace


@dataclass(frozen=True, slots=True)
class Demand:
    """Describe the demand from `start` on; `load` is a share of capacity.

    The share `hot_share` of each workspace's requests uses one document, `hot_document`, unless
    that is 0; `surge` multiplies the demand of the workspace `surge_workspace`.
    """

    start: float
    load: float
    hot_share: float = 0.0
    hot_document: int = 0
    surge: float = 1.0
    surge_workspace: int = 5


def make_arrivals(
    deployment: Deployment, demands: tuple[Demand, ...], duration_s: float, seed: int
) -> list[Arrival]:
    """Return the arrivals of a Poisson process, with Zipf-distributed documents, in time order."""
    rng = random.Random(seed)
    documents = [_make_documents(rng, workspace) for workspace in range(len(WORKSPACE_SHARES))]
    popularity = list(accumulate(1 / (n + 1) ** ZIPF_EXPONENT for n in range(DOCUMENTS)))
    base_rate = _capacity_requests_per_s(deployment)
    arrivals: list[Arrival] = []
    now = 0.0
    for demand, end in zip(demands, [*(d.start for d in demands[1:]), duration_s], strict=True):
        now = max(now, demand.start)
        shares = list(WORKSPACE_SHARES)
        shares[demand.surge_workspace] *= demand.surge
        rate = base_rate * demand.load * sum(shares)
        while True:
            now += rng.expovariate(rate)
            if now >= end:
                break
            arrivals.append(
                _make_arrival(
                    rng, len(arrivals), now, deployment, demand, shares, documents, popularity
                )
            )
    return arrivals


def _make_arrival(
    rng: random.Random,
    req_id: int,
    now: float,
    deployment: Deployment,
    demand: Demand,
    shares: list[float],
    documents: list[list[Document]],
    popularity: list[float],
) -> Arrival:
    (workspace_documents,) = rng.choices(documents, weights=shares)
    (document,) = rng.choices(workspace_documents, cum_weights=popularity)
    if demand.hot_document and rng.random() < demand.hot_share:
        document = workspace_documents[demand.hot_document]
    tokens = document.prefix_pieces * PIECE_TOKENS + rng.randint(100, MAX_TAIL_TOKENS)
    answer = rng.randint(MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS)
    instance = rng.randrange(deployment.instances)
    return Arrival(req_id, now, instance, document, tokens, answer)


def _capacity_requests_per_s(deployment: Deployment) -> float:
    mean_document = (MIN_DOCUMENT_PIECES + MAX_DOCUMENT_PIECES) / 2
    prefix_tokens = (SYSTEM_PIECES + TENANT_PIECES + mean_document) * PIECE_TOKENS
    work_tokens = prefix_tokens * (1 - CAPACITY_HIT_RATE) + MAX_TAIL_TOKENS / 2
    return deployment.prefill_tokens_per_s / work_tokens


def _make_documents(rng: random.Random, workspace: int) -> list[Document]:
    sizes = [rng.randint(MIN_DOCUMENT_PIECES, MAX_DOCUMENT_PIECES) for _ in range(DOCUMENTS)]
    return [Document(workspace, n % TENANTS, n, size) for n, size in enumerate(sizes)]


@cache
def _hash_levels(
    version: str, workspace: int, tenant: int, number: int, pieces: int
) -> tuple[int, ...]:
    levels = [("s", i) for i in range(SYSTEM_PIECES)]
    levels += [(f"t{tenant}", i) for i in range(TENANT_PIECES)]
    levels += [(f"d{number}", i) for i in range(pieces)]
    return tuple(_hash(f"{version}/{workspace}/{name}/{i}") for name, i in levels)


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")
