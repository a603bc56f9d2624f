"""Tests of the encoding of membership messages."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rattangate.core.gossip import EndpointMark, Gossip, GossipKind, MemberNews, MemberState
from rattangate.peers.gossip_codec import decode_gossip, encode_gossip, idl

OWN = MemberNews("entry-1", 1_900_000_000_000, 2, MemberState.SUSPECT, True, 77)


@pytest.mark.parametrize("kind", list(GossipKind))
def test_messages_come_back_as_they_were(kind):
    gossip = Gossip(kind, OWN, 2**62, (OWN,), (EndpointMark("engine-1", 3),), "entry-2")
    assert decode_gossip(encode_gossip(gossip)) == gossip
    bare = replace(gossip, members=(), marks=(), subject="")
    assert decode_gossip(encode_gossip(bare)) == bare


def test_unknown_kinds_are_refused():
    raw = encode_gossip(Gossip(GossipKind.PING, OWN, 0))
    kind_at = raw.index(bytes([GossipKind.PING.value]), 3)
    with pytest.raises(ValueError, match="99"):
        decode_gossip(raw[:kind_at] + bytes([99]) + raw[kind_at + 1 :])
    assert idl.Gossip().kind is None
