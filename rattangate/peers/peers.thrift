namespace py rattangate.peers

/** The first message of a connection; the server answers with its own Hello, which has a proof. */
struct Hello {
  1: string instance
  2: i64 incarnation
  3: binary nonce
  4: binary proof
  /** What the connection is for: 0 for updates, 1 for a tunnel to an endpoint. */
  5: i32 purpose = 0
}

/** Proves that the client knows the peer secret, as HMAC-SHA-256 over both nonces. */
struct Proof {
  1: binary proof
}

/** A request dispatched to an endpoint; pieces are hashes of 8 bytes each, big-endian. */
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
  10: binary digest
  /** Tokens whose cache entries the engine fetches from another one instead of prefilling. */
  11: optional i32 fetched_tokens
  /** The keeper (a store of cache entries) to which the engine writes those of the prompt. */
  12: optional string cache_target
  /** Identifies a stream that can be taken up again. */
  13: optional binary stream
}

/** The first token or the loss of a placed request; cached_tokens is unset if no token came. */
struct Departed {
  1: string endpoint
  2: i64 incarnation
  3: i32 prompt_tokens
  4: i32 max_tokens
  5: i64 number
  6: optional i32 cached_tokens
  7: i32 age_ms
}

/** The current use of a workspace's limits at one instance. */
struct Usage {
  1: string workspace
  2: i32 streams
  3: i32 demand_tokens_per_s
}

/** A request that was running on an endpoint when it failed, and may have crashed it. */
struct Suspected {
  1: binary digest
  2: string endpoint
  3: i64 incarnation
  4: i32 ran_ms
  5: i32 expires_in_ms
  6: bool confirmed
  7: bool cleared
  /** The suspect parts of its prompt. */
  8: optional list<string> parts
}

/** An answer on a suspect part of a prompt that began age_ms ago and went well. */
struct GoodRun {
  1: string part
  2: i32 age_ms
}

/** A suspect request that an instance holds; endpoint is where it runs, empty while it waits. */
struct Trial {
  1: binary digest
  2: string endpoint
  3: bool exclusive
}

/** The request rate that an endpoint named age_ms ago; per_s is unset if it names none any more. */
struct EndpointLimit {
  1: string endpoint
  2: i64 incarnation
  3: optional double per_s
  4: i32 age_ms
}

/** An endpoint of a brittle service that rejected a request age_ms ago. */
struct EndpointRejection {
  1: string endpoint
  2: i64 incarnation
  3: string serves
  4: i32 age_ms
}

/** An instance's use of limits, length of queue and suspect requests. */
struct Limits {
  1: list<Usage> usages
  2: i64 queued_tokens
  3: list<Suspected> suspected
  4: list<Trial> trials
  5: optional list<GoodRun> good_runs
  6: optional list<EndpointLimit> endpoint_limits
  /** Services in place of endpoints, with the rejections a second that one endpoint bears. */
  7: optional list<EndpointLimit> brittle_services
  8: optional list<EndpointRejection> rejections
}

/** What an instance believes to be in an engine's cache, least recently used piece first. */
struct Picture {
  1: string endpoint
  2: i64 incarnation
  3: string weights_version
  4: binary pieces
  5: i32 capacity
}

/** The cache contents of all engines; also the format of the snapshot in the object store. */
struct Pictures {
  1: list<Picture> pictures
}

/** The weights of an engine as an instance saw them, before the list of endpoints shows them. */
struct Weights {
  1: string endpoint
  2: i64 incarnation
  3: string model
  /** The version in use, 0 while the engine loads one. */
  4: i64 version
  /** The maximum time until the load ends. */
  5: i32 loading_ms
}

/** A row of a table of the store; value is unset for a removed row. */
struct ListedRow {
  1: string name
  2: i64 version
  3: optional binary value
}

/** The rows of a table that changed after one version of the store, up to another version. */
struct Listed {
  1: i64 after
  2: i64 version
  /** When the rows were requested, on the monotonic clock of the store. */
  3: i64 asked_at_ms
  4: list<ListedRow> rows
  5: string table
}

/** Software that served age_ms ago; has_models tells whether its service runs models. */
struct Served {
  1: string serves
  2: string version
  3: i32 age_ms
  4: bool has_models
}

/** What an instance knows of recent streams that callers may take up again. */
struct StreamHistory {
  /** For so long the list of software is complete. */
  1: i32 known_ms
  2: list<Served> served
  /** For each stream its id (8 bytes), the index of its software (2) and its age in ms (4). */
  3: binary streams
  /** Since the endpoint list was read. */
  4: i32 list_age_ms
}

/** All that an instance knows of failed runs and of good runs on suspect parts of prompts. */
struct Evidence {
  1: list<Suspected> suspected
  2: list<GoodRun> good_runs
}

/** An update from an instance to its peers; without content it is the heartbeat. */
struct News {
  1: string instance
  2: i64 incarnation
  3: i64 seq
  4: i64 config_version
  5: bool leaving
  6: list<Placed> placed
  7: list<Departed> departed
  8: map<string, i64> leaving_endpoints
  /** Asks the receiver for its configuration in force. */
  9: optional bool wants_config
  /** A configuration record and its content, compressed with zlib, sent on request. */
  10: optional binary config_record
  11: optional binary config_content
  12: optional Limits limits
  /** Asks the receiver for what it believes to be in the engines' caches. */
  13: optional bool wants_pictures
  14: optional Pictures pictures
  15: optional list<Weights> weights
  16: optional Listed listed
  /** The live instances of the sender's data centre, with their incarnations. */
  17: optional map<string, i64> live_instances
  /** Sent first on each connection. */
  18: optional StreamHistory stream_history
  /** Sent first on each connection. */
  19: optional Evidence evidence
}

/** Asks the server of a tunnel to connect to one incarnation of an endpoint. */
struct TunnelRequest {
  1: string endpoint
  2: i64 incarnation
}

/** Tells whether the server of a tunnel has connected to the endpoint, as a TunnelOutcome. */
struct TunnelAnswer {
  1: i32 outcome
  /** How long the endpoint wants no requests from the server, if the outcome says so. */
  2: i32 rest_ms
}

/** Carries bytes through a tunnel, and what the two instances tell each other of it. */
struct TunnelFrame {
  1: optional binary data
  /** The endpoint has closed its connection without an error; nothing follows. */
  2: optional bool is_end
  /** The server wants no further request on this tunnel. */
  3: optional bool is_closing
  /** The endpoint has told the client in an answer to send no requests for this time. */
  4: optional i32 rest_ms
  /** The connection to the endpoint broke while the request was sent; nothing follows. */
  5: optional bool is_cut
}
