"""The thrift encoding of membership messages."""

from __future__ import annotations

import io
from importlib import resources
from typing import Any

import thriftpy2
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from rattangate.core.gossip import EndpointMark, Gossip, GossipKind, MemberNews, MemberState

MODULE_NAME = "rattangate_gossip_thrift"

_source = resources.files("rattangate.peers").joinpath("gossip.thrift").read_text()
idl: Any = thriftpy2.load_fp(io.StringIO(_source), MODULE_NAME)
_factory = TBinaryProtocolFactory()


def encode_gossip(gossip: Gossip) -> bytes:
    """Encode a membership message."""
    raw = idl.Gossip(
        kind=gossip.kind.value,
        sender=_raw_member(gossip.sender),
        digest=gossip.digest,
        members=[_raw_member(news) for news in gossip.members],
        marks=[
            idl.Mark(endpoint=mark.endpoint, incarnation=mark.incarnation) for mark in gossip.marks
        ],
        subject=gossip.subject,
    )
    data: bytes = serialize(raw, _factory)
    return data


def decode_gossip(data: bytes) -> Gossip:
    """Decode a membership message; raise ValueError for an unknown kind or state."""
    raw = deserialize(idl.Gossip(), data, _factory)
    return Gossip(
        GossipKind(raw.kind),
        _member(raw.sender),
        raw.digest,
        tuple(_member(member) for member in raw.members or ()),
        tuple(EndpointMark(mark.endpoint, mark.incarnation) for mark in raw.marks or ()),
        raw.subject or "",
    )


def _raw_member(news: MemberNews) -> Any:
    return idl.Member(
        name=news.name,
        incarnation=news.incarnation,
        refutation=news.refutation,
        state=news.state.value,
        is_leaving=news.is_leaving,
        config_version=news.config_version,
    )


def _member(raw: Any) -> MemberNews:
    return MemberNews(
        raw.name,
        raw.incarnation,
        raw.refutation,
        MemberState(raw.state),
        bool(raw.is_leaving),
        raw.config_version,
    )
