namespace py rattangate.peers

/** Opens a connection; the server answers with its own Hello. */
struct Hello {
  1: string instance
  2: i64 incarnation
  3: binary nonce
  4: binary proof
}

/** Proves that the client knows the peers' secret. */
struct Proof {
  1: binary proof
}

/** One request given to an endpoint; pieces are 8 bytes each, big-endian. */
struct Placed {
  1: string endpoint
  2: i64 incarnation
  3: string workspace
  4: binary pieces
  5: i32 prompt_tokens
  6: i32 max_tokens
  7: i32 priority
  8: i64 number
  9: i32 age_ms
}

/** The first token or the loss of a placed request; no cached_tokens when no token came. */
struct Departed {
  1: string endpoint
  2: i64 incarnation
  3: i32 prompt_tokens
  4: i32 max_tokens
  5: i64 number
  6: optional i32 cached_tokens
  7: i32 age_ms
}

/** What an instance tells its peers; it is the heartbeat too. */
struct News {
  1: string instance
  2: i64 incarnation
  3: i64 seq
  4: i64 config_version
  5: bool leaving
  6: list<Placed> placed
  7: list<Departed> departed
  8: map<string, i64> leaving_endpoints
  /** Asks the receiver for the configuration that it has in force. */
  9: optional bool wants_config
  /** A configuration record and its content, on request. */
  10: optional binary config_record
  11: optional binary config_content
}
