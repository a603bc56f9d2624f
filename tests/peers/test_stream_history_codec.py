"""What an instance knows of recent streams reaches its peers unchanged."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rattangate.core.messages import EndpointState, EndpointStatus
from rattangate.core.stream_history import BegunStream, ServedSoftware, Software, StreamHistory
from rattangate.core.stream_versions import MAX_LIST_GAP_S, STREAM_RETENTION_S, StreamVersions
from rattangate.peers.codec import decode_update, encode_update, make_update
from rattangate.peers.framing import PeerProtocolError, decode_frame

V1, V2 = Software("llm", "v1"), Software("llm", "v2")
HISTORY = StreamHistory(
    12.5,
    (ServedSoftware(V1, 0.0, True), ServedSoftware(V2, 3.0, False)),
    (BegunStream(b"stream-1", V2, 0.25), BegunStream(b"stream-2", V1, 7.0)),
    list_age_s=1.5,
)


def encode(history: StreamHistory) -> bytes:
    heartbeat = make_update(None, "entry-1", 7, 3, leaving=False)
    return encode_update(replace(heartbeat, stream_history=history))


@pytest.mark.parametrize("history", [HISTORY, StreamHistory(0.0)])
def test_a_history_is_decoded_as_it_was_encoded(history):
    update = decode_update(encode(history))
    assert update.stream_history == history
    assert not update.is_heartbeat


def test_a_history_that_names_no_software_of_its_own_is_refused():
    data = encode(HISTORY).replace(b"stream-1\x00\x01", b"stream-1\x00\x02")
    with pytest.raises(PeerProtocolError):
        decode_frame(decode_update, data)


@pytest.mark.parametrize("days", [25, 50])
def test_the_history_of_an_instance_that_has_run_for_weeks_can_be_encoded(days):
    versions = StreamVersions()
    versions.record_endpoint(EndpointStatus("a", 1, "1", EndpointState.LIVE, "llm"), 0.0)
    versions.record_list_read(frozenset({("a", 1)}), 0.0)
    versions.record_placement(b"stream-1", ("a", 1), 1.0)
    now = days * 86_400.0
    for at in range(0, int(now), int(MAX_LIST_GAP_S)):
        versions.record_list_read(frozenset({("a", 1)}), float(at))
    history = decode_update(encode(versions.history(now))).stream_history
    assert history.known_s >= STREAM_RETENTION_S
    assert not history.streams
