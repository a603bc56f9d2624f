"""The messages that the gateway core handles and the effects that it returns.

All times are seconds on the monotonic clock of the instance that runs the core.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from rattangate.core.stream_history import Software, StreamHistory, StreamOrigin

if TYPE_CHECKING:
    from rattangate.core.endpoint_key import EndpointKey
    from rattangate.core.prefix import CacheScope
    from rattangate.core.refusals import RefusalReason
    from rattangate.core.retries import RetryReason
    from rattangate.errors import Failure


class AttemptResult(Enum):
    """Name the ways in which an attempt at an endpoint can end.

    After NOT_SENT and REFUSED the request did not run. FAILED is a complete answer that reports an
    error. LOST is a missing or incomplete answer, after which the request may have run.
    """

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"


class EndpointState(Enum):
    """Name the states of an endpoint as seen from one instance.

    A SUSPENDED endpoint takes no requests for now: it loads weights, asked for a pause, runs outdated
    weights, or has lost an attempt and not been reached again. A DOWN one takes no connections or is
    not listed. A LEAVING endpoint is draining. A CACHE_STORE runs no requests: it is a store from which engines
    fetch KV-cache entries and to which they write them.
    """

    LIVE = "live"
    LEAVING = "leaving"
    SUSPENDED = "suspended"
    DOWN = "down"
    CACHE_STORE = "keeper"


class Verdict(Enum):
    """Name the states of a request digest; a GUILTY one is quarantined."""

    FREE = "free"
    SUSPECT = "suspect"
    GUILTY = "guilty"


# Messages


@dataclass(frozen=True, slots=True)
class VersionedBlocks:
    """Hold the block hashes of a prompt under another weights version of its model."""

    weights_version: str
    blocks: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Request the placement of a new request.

    A block is a fixed number of prompt tokens, the unit of the prefix cache. `blocks` are the
    chained hashes of the complete blocks under the weights version of `scope`, and `other_versions`
    those under further versions that still run. The last `unshared_blocks` of them are shared with
    no other request. `digest` is equal for equal requests of one caller.

    An answer that begins after `soft_deadline` is late: it is of use until `deadline`, but the request is
    queued behind those that can still be on time. `max_runs` bounds the number of endpoints on
    which the request may have run, None for no bound of its own. A request that is not `repeatable`
    is not retried once it may have run. `parts` identify the parts of the prompt that other
    requests may share, within the model.

    `stream` identifies a stream that can be taken up again, empty for any other request;
    `takes_up_stream` says that the caller has events of it already.
    """

    req_id: int
    scope: CacheScope
    blocks: tuple[int, ...]
    prompt_tokens: int
    max_tokens: int
    digest: bytes
    priority: int
    deadline: float
    other_versions: tuple[VersionedBlocks, ...] = ()
    repeatable: bool = True
    max_runs: int | None = None
    unshared_blocks: int = 0
    soft_deadline: float = math.inf
    parts: tuple[str, ...] = ()
    stream: bytes = b""
    takes_up_stream: bool = False


@dataclass(frozen=True, slots=True)
class FirstTokenSeen:
    """Report the first token of an attempt.

    `cached_tokens` is the number of cached prompt tokens that the engine reports, None if it
    reports none.
    """

    req_id: int
    attempt: int
    cached_tokens: int | None


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Report the end of an attempt; with `reports_error`, its complete answer was an error."""

    req_id: int
    attempt: int
    result: AttemptResult
    completion_tokens: int = 0
    reports_error: bool = False


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """Report that the caller disconnected or the request was cancelled."""

    req_id: int


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """Report an endpoint's state, incarnation and weights version.

    `serves` is the name of the model, empty for any; `cache_blocks` is the declared cache size in
    blocks, 0 if unknown; `slots` is the number of requests that it processes in parallel;
    `network_cost_s` is the cost in seconds that placement adds for its distance; `available_at` is
    when an endpoint that asked for a pause accepts requests again, None if it asked for none;
    `software_version` is that of the endpoint's software, empty if it states none.
    """

    endpoint: str
    incarnation: int
    weights_version: str
    state: EndpointState
    serves: str = ""
    cache_blocks: int = 0
    slots: int = 1
    network_cost_s: float = 0.0
    available_at: float | None = None
    software_version: str = ""

    @property
    def software(self) -> Software:
        """Return the identity of the endpoint's software."""
        return Software(self.serves, self.software_version)


@dataclass(frozen=True, slots=True)
class EndpointListRead:
    """Report that the endpoint list was read, and all that are `listed` were reported."""

    listed: frozenset[EndpointKey] = frozenset()


@dataclass(frozen=True, slots=True)
class StreamHistoryReceived:
    """Report what a peer knows of recent streams."""

    history: StreamHistory


@dataclass(frozen=True, slots=True)
class EndpointLimitReported:
    """Report the request rate that an answer names, None if it names none.

    The endpoint accepts `per_s` requests a second from all instances together. `sent_at` is when
    the answered request was sent.
    """

    endpoint: str
    incarnation: int
    per_s: float | None
    sent_at: float


@dataclass(frozen=True, slots=True)
class BrittlenessReported:
    """Report whether an answer says that the endpoints of its service are brittle.

    Such an endpoint falls over if it must reject more than `max_rejections_per_s` requests in a
    second for want of room; None says that it is not brittle. `sent_at` is when the answered
    request was sent.
    """

    endpoint: str
    incarnation: int
    max_rejections_per_s: float | None
    sent_at: float


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """Report that an endpoint rejected a request without running it, for want of room."""

    endpoint: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class LoadReported:
    """Report the load of an endpoint at the time `measured_at`."""

    endpoint: str
    incarnation: int
    running: int
    waiting: int
    waiting_tokens: int
    measured_at: float


@dataclass(frozen=True, slots=True)
class CacheChanged:
    """Report the blocks stored and evicted in an engine's events `first_seq` to `last_seq`."""

    endpoint: str
    incarnation: int
    first_seq: int
    last_seq: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Placement:
    """Record the dispatch of a request to an endpoint, for this instance and for its peers.

    `number` is unique within the sending instance; `age_s` is the age of the placement when the
    update was sent; `fetched_tokens` is the number of tokens whose cache entries the engine fetches
    instead of prefilling; `cache_target` names the cache store that holds the prompt's
    entries; `stream` identifies a stream that can be taken up again.
    """

    endpoint: str
    incarnation: int
    workspace: str
    blocks: tuple[int, ...]
    prompt_tokens: int
    max_tokens: int
    priority: int
    number: int = 0
    age_s: float = 0.0
    digest: bytes = b""
    fetched_tokens: int = 0
    cache_target: str = ""
    stream: bytes = b""


@dataclass(frozen=True, slots=True)
class PlacementRelease:
    """Record the first token or the loss of a placed request, so that peers release its work.

    `number` is that of the placement, and `age_s` the age of the release when the update was
    sent. `cached_tokens` is the number that the engine reports, None where no token came.
    """

    endpoint: str
    incarnation: int
    prompt_tokens: int
    max_tokens: int
    number: int = 0
    cached_tokens: int | None = None
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkspaceUsage:
    """Hold the current use of a workspace's limits at one instance."""

    workspace: str
    streams: int
    demand_tokens_per_s: int


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Record that a request was running on an endpoint when it failed, and may have crashed it.

    `ran_s` is how long the request had run; `confirmed` says that the endpoint did crash: it takes
    no connections or restarted with another incarnation; `cleared` withdraws the suspicion
    permanently. `parts` are the suspect parts of its prompt.
    """

    digest: bytes
    endpoint: str
    incarnation: int
    ran_s: float
    expires_in_s: float
    confirmed: bool = False
    cleared: bool = False
    parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class GoodRun:
    """Record that an answer on a suspect part began `age_s` seconds ago and went well."""

    part: str
    age_s: float


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold all that an instance knows of failed runs and of good runs on suspect parts."""

    suspicions: tuple[Suspicion, ...] = ()
    good_runs: tuple[GoodRun, ...] = ()


@dataclass(frozen=True, slots=True)
class EvidenceReceived:
    """Report all that a peer knows of failed and of good runs."""

    evidence: Evidence


@dataclass(frozen=True, slots=True)
class TrialClaim:
    """Announce that an instance holds a suspect request, to be run apart from other suspects.

    `endpoint` is where it runs, empty while it waits. During an `exclusive` trial no other suspect
    runs on that endpoint.
    """

    digest: bytes
    endpoint: str
    exclusive: bool


@dataclass(frozen=True, slots=True)
class EndpointLimit:
    """Tell peers the request rate that an endpoint named `age_s` ago, None for none any more."""

    endpoint: str
    incarnation: int
    per_s: float | None
    age_s: float


@dataclass(frozen=True, slots=True)
class EndpointRejection:
    """Tell peers that an endpoint of a brittle service rejected a request `age_s` ago."""

    endpoint: str
    incarnation: int
    service: str
    age_s: float


@dataclass(frozen=True, slots=True)
class LimitsUpdate:
    """Hold an instance's use of limits, length of queue and suspect requests, for its peers.

    `endpoint_limits`, `brittle_services` and `rejections` hold what the instance has read in
    answers since its last update. `brittle_services` names services in place of endpoints, with the
    rejections a second that one of their endpoints bears.
    """

    usages: tuple[WorkspaceUsage, ...] = ()
    queued_tokens: int = 0
    suspicions: tuple[Suspicion, ...] = ()
    claims: tuple[TrialClaim, ...] = ()
    good_runs: tuple[GoodRun, ...] = ()
    endpoint_limits: tuple[EndpointLimit, ...] = ()
    brittle_services: tuple[EndpointLimit, ...] = ()
    rejections: tuple[EndpointRejection, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerUpdateReceived:
    """Deliver the placements and releases of a peer; `seq` numbers its updates without gaps."""

    instance: str
    instance_incarnation: int
    seq: int
    placements: tuple[Placement, ...]
    releases: tuple[PlacementRelease, ...]
    limits: LimitsUpdate | None = None


@dataclass(frozen=True, slots=True)
class PeerLost:
    """Report that a peer instance was declared lost."""

    instance: str


@dataclass(frozen=True, slots=True)
class CacheSnapshotReceived:
    """Deliver the blocks believed to be in the cache of an endpoint, from a peer or a snapshot.

    `blocks` are ordered from the least to the most recently used; `capacity` is in blocks, 0 if
    unknown.
    """

    endpoint: str
    incarnation: int
    weights_version: str
    blocks: tuple[int, ...]
    capacity: int = 0


@dataclass(frozen=True, slots=True)
class QuarantineReleased:
    """Release a request from quarantine at the request of an operator."""

    digest: bytes


@dataclass(frozen=True, slots=True)
class Tick:
    """Let the core handle deadlines and periodic work."""


Message = (
    RequestArrived
    | FirstTokenSeen
    | AttemptEnded
    | RequestAbandoned
    | EndpointStatus
    | EndpointListRead
    | StreamHistoryReceived
    | EvidenceReceived
    | EndpointLimitReported
    | BrittlenessReported
    | RequestRejected
    | LoadReported
    | CacheChanged
    | PeerUpdateReceived
    | PeerLost
    | CacheSnapshotReceived
    | QuarantineReleased
    | Tick
)

# Effects


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send a request to an endpoint, which must still be of this incarnation and version.

    `priority` is for the engine's own queue; a lower number goes first. `cache_source` names the
    endpoint from which the engine should fetch cache entries that it lacks, and `cache_target` the
    cache store to which it should write the prompt's entries, empty for none. `missing_tokens` and
    `first_token_s` are the estimates of the placement: the number of tokens to prefill, and the
    time to the first token in seconds. `stream_origin` is that of a stream that is taken up.
    """

    req_id: int
    attempt: int
    endpoint: str
    incarnation: int
    weights_version: str
    retry_reason: RetryReason | None = None
    priority: int = 0
    cache_source: str = ""
    cache_target: str = ""
    missing_tokens: int = 0
    first_token_s: float = 0.0
    stream_origin: StreamOrigin | None = None


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt without an answer to the caller; another dispatch or a refusal follows."""

    req_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer a request with a failure."""

    req_id: int
    failure: Failure
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class SendPeerUpdate:
    """Send the placements and releases of this instance to its peers."""

    seq: int
    placements: tuple[Placement, ...]
    releases: tuple[PlacementRelease, ...]
    limits: LimitsUpdate | None = None


@dataclass(frozen=True, slots=True)
class SuspicionRecorded:
    """Report that this instance lost an attempt, which makes its request and its parts suspect."""

    digest: bytes
    parts: tuple[str, ...]
    endpoint: str
    incarnation: int
    ran_s: float


@dataclass(frozen=True, slots=True)
class CrashRecorded:
    """Report that an endpoint is known to have crashed; `suspects` counts the requests on it."""

    endpoint: str
    incarnation: int
    suspects: int


@dataclass(frozen=True, slots=True)
class VerdictChanged:
    """Report that a suspect was quarantined or cleared; `crashes` counts its confirmed crashes.

    `subject` is the digest of a request in hexadecimal, or the quarantined parts of prompts.
    """

    subject: str
    verdict: Verdict
    crashes: int


@dataclass(frozen=True, slots=True)
class EndpointLimitChanged:
    """Report the request rate that an endpoint accepts now, None for no limit any more.

    `source` tells whether an answer or a peer said so.
    """

    endpoint: str
    incarnation: int
    per_s: float | None
    source: str


@dataclass(frozen=True, slots=True)
class ServiceBrittlenessChanged:
    """Report how many rejections a second an endpoint of a service bears, None for any number.

    `source` tells whether an answer or a peer said so.
    """

    service: str
    max_rejections_per_s: float | None
    source: str


QuarantineChange = SuspicionRecorded | CrashRecorded | VerdictChanged
Effect = (
    Dispatch
    | CancelAttempt
    | Refuse
    | SendPeerUpdate
    | QuarantineChange
    | EndpointLimitChanged
    | ServiceBrittlenessChanged
)
