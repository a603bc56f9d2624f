"""Passes on what the answers of endpoints say of themselves: leaving, limits and refusals."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattangate.core.fleet import WeightsUpdate
from rattangate.core.messages import BrittlenessReported, EndpointLimitReported, RequestRejected

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.core.messages import Dispatch
    from rattangate.front.state import FrontState
    from rattangate.platform.requests import AnswerHead

# How long a refusing endpoint is assumed to load new weights.
ASSUMED_LOADING_S = 1.0
MISDIRECTED_REQUEST = 421
SERVICE_UNAVAILABLE = 503


class EndpointReports:
    """Report the answers of endpoints to the state, the gateway and the peers."""

    def __init__(self, state: FrontState, announce_leaving: Callable[[str, int], None]) -> None:
        self._state = state
        self._announce_leaving = announce_leaving

    def record_answer(self, dispatch: Dispatch, response: AnswerHead, sent_at: float) -> None:
        """Report whether the endpoint is leaving, and the rates that it accepts."""
        self._record_leaving(dispatch, response)
        self._record_limits(dispatch, response, sent_at)

    def record_refusal(self, dispatch: Dispatch, response: AnswerHead) -> None:
        """Back off for the time of a Retry-After.

        An endpoint that refuses with 421 or on outdated weights is assumed to load new ones.
        """
        if response.status == SERVICE_UNAVAILABLE and not response.is_leaving:
            self._state.driver.feed(RequestRejected(dispatch.endpoint, dispatch.incarnation))
        if response.status == SERVICE_UNAVAILABLE and response.retry_after_s is not None:
            self._state.back_off(dispatch.endpoint, dispatch.incarnation, response.retry_after_s)
        model = self._state.view.running_model(dispatch.endpoint)
        if model is None:
            return
        is_outdated = model.version < (self._state.desired_versions.newest(model.model) or 0)
        if is_outdated or response.status == MISDIRECTED_REQUEST:
            self._state.apply_weights(
                WeightsUpdate(
                    dispatch.endpoint, dispatch.incarnation, model.model, 0, ASSUMED_LOADING_S
                )
            )

    def _record_leaving(self, dispatch: Dispatch, response: AnswerHead) -> None:
        is_known = self._state.view.is_leaving(dispatch.endpoint, dispatch.incarnation)
        if not response.is_leaving or is_known:
            return
        self._state.apply_leaving(dispatch.endpoint, dispatch.incarnation, "answer")
        self._announce_leaving(dispatch.endpoint, dispatch.incarnation)

    def _record_limits(self, dispatch: Dispatch, response: AnswerHead, sent_at: float) -> None:
        """Report the rates that a response names; only a signed one can name none."""
        names_none = response.limit_per_s is None and response.max_rejections_per_s is None
        if names_none and not response.is_signed:
            return
        self._state.driver.feed(
            EndpointLimitReported(
                dispatch.endpoint, dispatch.incarnation, response.limit_per_s, sent_at
            )
        )
        self._state.driver.feed(
            BrittlenessReported(
                dispatch.endpoint, dispatch.incarnation, response.max_rejections_per_s, sent_at
            )
        )
