"""The gossip messages of the membership protocol and the effects that membership returns."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class MemberState(Enum):
    """Name the states of an instance; of equal refutation, the higher value prevails.

    The values are part of the wire protocol.
    """

    UNKNOWN = 0
    ALIVE = 1
    SUSPECT = 2
    LOST = 3


class GossipKind(Enum):
    """Name the kinds of gossip messages; the values are part of the wire protocol.

    A PING is answered by an ACK. A PING_REQUEST asks the receiver to ping a third instance, and an
    INDIRECT_ACK reports that it acknowledged. A STATE_REQUEST is answered by a STATE, which holds
    all records.
    """

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    INDIRECT_ACK = 4
    STATE_REQUEST = 5
    STATE = 6


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Record what is known of one instance.

    `incarnation` rises with each start of the instance. The instance raises `refutation` to
    overrule records that call it suspect or lost, like the incarnation number of SWIM.
    """

    name: str
    incarnation: int
    refutation: int
    state: MemberState
    is_leaving: bool
    config_version: int

    @property
    def rank(self) -> tuple[int, int, int]:
        """Return the sort key of records of one instance; the highest one prevails."""
        return (self.incarnation, self.refutation, self.state.value)


@dataclass(frozen=True, slots=True)
class LeavingEndpoint:
    """Record that one incarnation of an endpoint is leaving."""

    endpoint: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Gossip:
    """Carry the sender's own record and recent updates about other instances and endpoints.

    `subject` names the third instance of a PING_REQUEST or INDIRECT_ACK; `digest` is a hash of the
    state that the sender knows.
    """

    kind: GossipKind
    sender: MemberRecord
    digest: int
    members: tuple[MemberRecord, ...] = ()
    marks: tuple[LeavingEndpoint, ...] = ()
    subject: str = ""


# Effects


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a message to an instance."""

    to: str
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class MemberFound:
    """Report an instance that is newly alive, or alive again after it was lost."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class MemberLost:
    """Report an incarnation that was declared lost or replaced by a newer one."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class MemberLeaving:
    """Report an instance that is shutting down."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ConfigVersionSeen:
    """Report a configuration version above all seen before, and the instance that announced it."""

    version: int
    source: str


@dataclass(frozen=True, slots=True)
class EndpointLeaving:
    """Report an incarnation of an endpoint that is leaving, once."""

    mark: LeavingEndpoint


MembershipEffect = (
    SendGossip | MemberFound | MemberLost | MemberLeaving | ConfigVersionSeen | EndpointLeaving
)
