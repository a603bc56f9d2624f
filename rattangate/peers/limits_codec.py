"""Convert updates on limits, queues and suspect requests to and from thrift structs."""

from __future__ import annotations

from typing import Any

from rattangate.core.messages import (
    EndpointLimit,
    EndpointRejection,
    Evidence,
    GoodRun,
    LimitsUpdate,
    Suspicion,
    TrialClaim,
    WorkspaceUsage,
)
from rattangate.peers import peers_thrift as idl
from rattangate.units import MS_PER_S

MAX_I32 = 2**31 - 1


def limits_to_thrift(update: LimitsUpdate) -> Any:
    """Return the thrift struct of an update on limits."""
    return idl.Limits(
        usages=[_usage_to_thrift(usage) for usage in update.usages],
        queued_tokens=update.queued_tokens,
        suspected=[_suspicion_to_thrift(suspicion) for suspicion in update.suspicions],
        trials=[_claim_to_thrift(claim) for claim in update.claims],
        good_runs=[_good_run_to_thrift(run) for run in update.good_runs] or None,
        endpoint_limits=[_endpoint_limit_to_thrift(limit) for limit in update.endpoint_limits]
        or None,
        brittle_services=[_endpoint_limit_to_thrift(limit) for limit in update.brittle_services]
        or None,
        rejections=[_rejection_to_thrift(rejection) for rejection in update.rejections] or None,
    )


def limits_from_thrift(raw: Any) -> LimitsUpdate:
    """Return the update on limits of a thrift struct."""
    return LimitsUpdate(
        tuple(
            WorkspaceUsage(usage.workspace, usage.streams, usage.demand_tokens_per_s)
            for usage in raw.usages
        ),
        raw.queued_tokens,
        tuple(_suspicion_from_thrift(suspected) for suspected in raw.suspected),
        tuple(
            TrialClaim(trial.digest, trial.endpoint, bool(trial.exclusive)) for trial in raw.trials
        ),
        tuple(map(_good_run_from_thrift, raw.good_runs or ())),
        tuple(_endpoint_limit_from_thrift(limit) for limit in raw.endpoint_limits or ()),
        tuple(_endpoint_limit_from_thrift(limit) for limit in raw.brittle_services or ()),
        tuple(
            EndpointRejection(item.endpoint, item.incarnation, item.serves, item.age_ms / MS_PER_S)
            for item in raw.rejections or ()
        ),
    )


def evidence_to_thrift(evidence: Evidence) -> Any:
    """Return the thrift struct of what an instance knows of failed and good runs."""
    return idl.Evidence(
        suspected=[_suspicion_to_thrift(suspicion) for suspicion in evidence.suspicions],
        good_runs=[_good_run_to_thrift(run) for run in evidence.good_runs],
    )


def evidence_from_thrift(raw: Any) -> Evidence:
    """Return the evidence of a thrift struct."""
    return Evidence(
        tuple(map(_suspicion_from_thrift, raw.suspected)),
        tuple(map(_good_run_from_thrift, raw.good_runs)),
    )


def _usage_to_thrift(usage: WorkspaceUsage) -> Any:
    return idl.Usage(
        workspace=usage.workspace,
        streams=usage.streams,
        demand_tokens_per_s=min(usage.demand_tokens_per_s, MAX_I32),
    )


def _suspicion_to_thrift(suspicion: Suspicion) -> Any:
    return idl.Suspected(
        digest=suspicion.digest,
        endpoint=suspicion.endpoint,
        incarnation=suspicion.incarnation,
        ran_ms=_clamp_to_ms(suspicion.ran_s),
        expires_in_ms=_clamp_to_ms(suspicion.expires_in_s),
        confirmed=suspicion.confirmed,
        cleared=suspicion.cleared,
        parts=list(suspicion.parts) or None,
    )


def _suspicion_from_thrift(raw: Any) -> Suspicion:
    return Suspicion(
        raw.digest,
        raw.endpoint,
        raw.incarnation,
        raw.ran_ms / MS_PER_S,
        raw.expires_in_ms / MS_PER_S,
        bool(raw.confirmed),
        bool(raw.cleared),
        tuple(raw.parts or ()),
    )


def _good_run_to_thrift(run: GoodRun) -> Any:
    return idl.GoodRun(part=run.part, age_ms=_clamp_to_ms(run.age_s))


def _good_run_from_thrift(raw: Any) -> GoodRun:
    return GoodRun(raw.part, raw.age_ms / MS_PER_S)


def _endpoint_limit_to_thrift(limit: EndpointLimit) -> Any:
    return idl.EndpointLimit(
        endpoint=limit.endpoint,
        incarnation=limit.incarnation,
        per_s=limit.per_s,
        age_ms=_clamp_to_ms(limit.age_s),
    )


def _endpoint_limit_from_thrift(raw: Any) -> EndpointLimit:
    return EndpointLimit(raw.endpoint, raw.incarnation, raw.per_s, raw.age_ms / MS_PER_S)


def _rejection_to_thrift(rejection: EndpointRejection) -> Any:
    return idl.EndpointRejection(
        endpoint=rejection.endpoint,
        incarnation=rejection.incarnation,
        serves=rejection.service,
        age_ms=_clamp_to_ms(rejection.age_s),
    )


def _claim_to_thrift(claim: TrialClaim) -> Any:
    return idl.Trial(digest=claim.digest, endpoint=claim.endpoint, exclusive=claim.exclusive)


def _clamp_to_ms(seconds: float) -> int:
    return min(MAX_I32, max(0, int(seconds * MS_PER_S)))
