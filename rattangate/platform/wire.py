"""The header names and request paths of the platform."""

from __future__ import annotations

ATTEMPT_ID = b"x-attempt-id"
DEADLINE_MS = b"x-deadline-ms"
MODEL = b"x-model"
TOKEN_COUNTS = b"x-token-counts"
PREFIX_PARTS = b"x-prefix-hash"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
AUTHORIZATION = b"authorization"
RETRY_AFTER = b"retry-after"
STORE_ERA = "store-era"

WORKSPACE = b"x-tenant"
TARGET_ENDPOINT = b"x-target-instance"
CACHE_SALT = b"x-cache-salt"
URGENCY = b"x-request-urgency"
EXPECT_VERSION = b"x-expect-version"
CACHE_SOURCE = b"x-kv-source"
CACHE_TARGET = b"x-kv-target"

SIGNATURE = b"x-server-seal"
NOT_RUN = b"x-not-executed"
ENDPOINT_LOAD = b"x-server-load"
ENDPOINT_ID = b"x-instance-id"
ENDPOINT_LEAVING = b"server-leaving"
ENDPOINT_LIMIT = b"server-limit"
ENDPOINT_BRITTLE = b"server-brittle"

# Dropped from requests of callers: only the router may set these directives for replicas.
RESERVED_HEADERS = frozenset(
    {
        WORKSPACE,
        TARGET_ENDPOINT,
        CACHE_SALT,
        URGENCY,
        EXPECT_VERSION,
        CACHE_SOURCE,
        CACHE_TARGET,
        b"x-kv-backup",
        b"kv-from",
        b"x-pin-ms",
        b"x-hold",
        b"x-weight-versions",
        SIGNATURE,
        NOT_RUN,
        ENDPOINT_LOAD,
        ENDPOINT_ID,
    }
)

# Dropped from answers to callers: replicas set these for the router.
ROUTER_ONLY_HEADERS = frozenset(
    {ENDPOINT_LOAD, ENDPOINT_ID, ENDPOINT_LEAVING, ENDPOINT_LIMIT, ENDPOINT_BRITTLE}
)

READY_PATH = "/readyz"
ORDER_PATH = "/order"
REPORT_PATH = "/report"

MOST_URGENT = 0
LEAST_URGENT = 9
