"""The messages that entry instances exchange about each other, and the effects of membership."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class MemberState(Enum):
    """Name the states of an instance; a later state outranks an earlier one."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECT = 2
    LOST = 3


class GossipKind(Enum):
    """Name the purposes of a message between instances."""

    PING = 1
    ACK = 2
    PROBE_REQUEST = 3
    PROBE_ANSWER = 4
    STATE_REQUEST = 5
    STATE = 6


@dataclass(frozen=True, slots=True)
class MemberNews:
    """Tell of one instance.

    The instance raises `refutation` to contradict news of its own loss.
    """

    name: str
    incarnation: int
    refutation: int
    state: MemberState
    is_leaving: bool
    config_version: int

    @property
    def rank(self) -> tuple[int, int, int]:
        """Return the order in which news of one instance replace each other."""
        return (self.incarnation, self.refutation, self.state.value)


@dataclass(frozen=True, slots=True)
class EndpointMark:
    """Tell that one incarnation of an endpoint is leaving."""

    endpoint: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Gossip:
    """Carry the sender's own state and what it has heard lately.

    `subject` names the probed instance in probe requests and answers; `digest` sums up all that
    the sender knows.
    """

    kind: GossipKind
    sender: MemberNews
    digest: int
    members: tuple[MemberNews, ...] = ()
    marks: tuple[EndpointMark, ...] = ()
    subject: str = ""


# Effects


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a message to an instance."""

    to: str
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class MemberFound:
    """Report an instance that is heard of for the first time, or again."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class MemberLost:
    """Report an instance that no longer answers."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class MemberLeaving:
    """Report an instance that is shutting down."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ConfigVersionSeen:
    """Report a configuration version higher than all before."""

    version: int
    source: str


@dataclass(frozen=True, slots=True)
class EndpointMarked:
    """Report a leaving mark that is new here."""

    mark: EndpointMark


MembershipEffect = (
    SendGossip | MemberFound | MemberLost | MemberLeaving | ConfigVersionSeen | EndpointMarked
)
