namespace py rattangate.peers

/** What is known of one instance; state as in core/gossip.py. */
struct Member {
  1: string name
  2: i64 incarnation
  3: i32 refutation
  4: byte state
  5: bool is_leaving
  6: i64 config_version
}

/** One leaving incarnation of an endpoint. */
struct Mark {
  1: string endpoint
  2: i64 incarnation
}

/** A probe, its answer, or a full state, with news of others. */
struct Gossip {
  1: byte kind
  2: Member sender
  3: i64 digest
  4: list<Member> members
  5: list<Mark> marks
  6: string subject
}
