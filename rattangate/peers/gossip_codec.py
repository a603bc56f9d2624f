"""Encode and decode the gossip messages of the membership protocol with thrift."""

from __future__ import annotations

from typing import Any

from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from rattangate.core.gossip import Gossip, GossipKind, LeavingEndpoint, MemberRecord, MemberState
from rattangate.peers import gossip_thrift as idl

_factory = TBinaryProtocolFactory()


def encode_gossip(gossip: Gossip) -> bytes:
    """Encode a gossip message."""
    raw = idl.Gossip(
        kind=gossip.kind.value,
        sender=_member_to_thrift(gossip.sender),
        digest=gossip.digest,
        members=[_member_to_thrift(record) for record in gossip.members],
        marks=[
            idl.Mark(endpoint=mark.endpoint, incarnation=mark.incarnation) for mark in gossip.marks
        ],
        subject=gossip.subject,
    )
    data: bytes = serialize(raw, _factory)
    return data


def decode_gossip(data: bytes) -> Gossip:
    """Decode a gossip message; raise ValueError for an unknown kind or state."""
    raw = deserialize(idl.Gossip(), data, _factory)
    return Gossip(
        GossipKind(raw.kind),
        _member_from_thrift(raw.sender),
        raw.digest,
        tuple(_member_from_thrift(member) for member in raw.members or ()),
        tuple(LeavingEndpoint(mark.endpoint, mark.incarnation) for mark in raw.marks or ()),
        raw.subject or "",
    )


def _member_to_thrift(record: MemberRecord) -> Any:
    return idl.Member(
        name=record.name,
        incarnation=record.incarnation,
        refutation=record.refutation,
        state=record.state.value,
        is_leaving=record.is_leaving,
        config_version=record.config_version,
    )


def _member_from_thrift(raw: Any) -> MemberRecord:
    return MemberRecord(
        raw.name,
        raw.incarnation,
        raw.refutation,
        MemberState(raw.state),
        bool(raw.is_leaving),
        raw.config_version,
    )
