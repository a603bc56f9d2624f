namespace py rattangate.peers

/** A record of one instance; the values of state are those of MemberState in core/gossip.py. */
struct Member {
  1: string name
  2: i64 incarnation
  3: i32 refutation
  4: byte state
  5: bool is_leaving
  6: i64 config_version
}

/** An incarnation of an endpoint that is leaving. */
struct Mark {
  1: string endpoint
  2: i64 incarnation
}

/**
 * A ping, an acknowledgement, or a request for either, or the full state; with updates on others.
 * The values of kind are those of GossipKind in core/gossip.py.
 */
struct Gossip {
  1: byte kind
  2: Member sender
  3: i64 digest
  4: list<Member> members
  5: list<Mark> marks
  6: string subject
}
