"""Tests of the encoding of gossip messages."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rattangate.core.gossip import Gossip, GossipKind, LeavingEndpoint, MemberRecord, MemberState
from rattangate.peers.gossip_codec import decode_gossip, encode_gossip, idl

OWN = MemberRecord("entry-1", 1_900_000_000_000, 2, MemberState.SUSPECT, True, 77)


@pytest.mark.parametrize("kind", list(GossipKind))
def test_encoding_and_decoding_return_the_same_message(kind):
    gossip = Gossip(kind, OWN, 2**62, (OWN,), (LeavingEndpoint("engine-1", 3),), "entry-2")
    assert decode_gossip(encode_gossip(gossip)) == gossip
    minimal = replace(gossip, members=(), marks=(), subject="")
    assert decode_gossip(encode_gossip(minimal)) == minimal


def test_unknown_kind_raises_value_error():
    raw = encode_gossip(Gossip(GossipKind.PING, OWN, 0))
    kind_offset = raw.index(bytes([GossipKind.PING.value]), 3)
    with pytest.raises(ValueError, match="99"):
        decode_gossip(raw[:kind_offset] + bytes([99]) + raw[kind_offset + 1 :])
    assert idl.Gossip().kind is None
