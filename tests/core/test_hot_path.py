"""Check that no frequent message makes the gateway iterate over all requests.

Such a scan would make the cost of each message grow with the number of open requests.
"""

from __future__ import annotations

import pytest

from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.messages import (
    AttemptEnded,
    AttemptResult,
    CacheChanged,
    EndpointState,
    EndpointStatus,
    FirstTokenSeen,
    LoadReported,
    PeerLost,
    PeerUpdateReceived,
    RequestAbandoned,
    RequestArrived,
    Tick,
)
from rattangate.core.prefix import CacheScope

SCOPE = CacheScope("festival", "parking", "", "v1")


class _NoIterationDict(dict):
    """Fail when the keys, values or items are iterated."""

    def __iter__(self):
        raise AssertionError("the gateway iterated over all requests; expected access by key only")

    items = values = keys = __iter__


def _request(req_id):
    return RequestArrived(req_id, SCOPE, (1, 2), 8100, 100, b"", 0, 1e9)


@pytest.mark.parametrize(
    "msg",
    [
        _request(99),
        FirstTokenSeen(3, 1, 4000),
        AttemptEnded(3, 1, AttemptResult.COMPLETED),
        AttemptEnded(3, 1, AttemptResult.LOST),
        RequestAbandoned(3),
        EndpointStatus("a", 1, "v1", EndpointState.LIVE, "parking", 64),
        LoadReported("a", 1, 1, 0, 0, 1.0),
        CacheChanged("a", 1, 1, 1, (1,), ()),
        PeerUpdateReceived("peer", 1, 1, (), ()),
        PeerLost("peer"),
        Tick(),
    ],
    ids=lambda msg: type(msg).__name__,
)
def test_message_does_not_iterate_over_all_requests(msg):
    gateway = Gateway(GatewayCfg(4000, 1.0), seed=1)
    for name in ("a", "b"):
        gateway.handle(EndpointStatus(name, 1, "v1", EndpointState.LIVE, "parking", 64), 0.0)
    for req_id in range(10):
        gateway.handle(_request(req_id), 1.0)
    gateway.scheduler.active_requests = _NoIterationDict(gateway.scheduler.active_requests)
    gateway.handle(msg, 1.5)
