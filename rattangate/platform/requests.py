"""Translate request and answer headers between the platform's names and the router's types."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rattangate.platform import wire
from rattangate.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

Header = tuple[bytes, bytes]

# Never forwarded, in either direction: they apply to one connection, or the router sets them anew.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
BEARER = b"bearer "
DEFAULT_DEADLINE_S = 60.0
# More than any engine holds; the work for a prompt grows with its tokens.
MAX_PROMPT_TOKENS = 1_000_000
MAX_OUTPUT_TOKENS = 1_000_000
# Above this an endpoint's rate is no limit, and permits for it would cost more than the requests.
MAX_RATE_PER_S = 10_000.0


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Hold the hash of one part of a prompt and its length in tokens."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Hold the decoded headers of a caller's request; `timeout_s` is its timeout in seconds.

    A request that takes a stream up again names in `resumes` the attempt that brought its first
    event.
    """

    attempt_id: str
    timeout_s: float
    host: str
    key: str | None
    model: str
    prompt_tokens: int
    max_tokens: int
    parts: tuple[PromptPart, ...]
    last_event_id: int
    resumes: str = ""


@dataclass(frozen=True, slots=True)
class RoutingDirectives:
    """Hold the routing directives for a replica; `urgency` runs from 0, most urgent, to 9.

    `timeout_s` is the remaining time of the request; `cache_salt`, `weights_version` and
    `cache_source` are set for model engines only; `last_event_id` resumes a stream that another
    replica began.
    """

    endpoint: str
    timeout_s: float
    workspace: str | None
    urgency: int | None = None
    cache_salt: str = ""
    weights_version: int | None = None
    cache_source: str = ""
    cache_target: str = ""
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Hold the decoded headers of a replica's answer.

    `was_not_run` guarantees that the request was not executed. `has_content_encoding` says that the
    body has a content encoding. The replica accepts no requests from this instance for
    `retry_after_s` seconds, and never again if `is_leaving`. It accepts `limit_per_s` requests a
    second from all instances together, None where it names no limit. It falls over if it must
    reject more than `max_rejections_per_s` requests in a second, None for any number.
    """

    status: int
    attempt_id: str
    is_signed: bool
    was_not_run: bool
    has_content_encoding: bool
    idle_timeout_s: float | None
    retry_after_s: float | None = None
    is_leaving: bool = False
    limit_per_s: float | None = None
    max_rejections_per_s: float | None = None


def decode_request(headers: Iterable[Header]) -> RequestHead | None:
    """Decode a caller's headers; return None if a number is malformed or out of range."""
    values = dict(headers)
    try:
        timeout_s = float(values.get(wire.DEADLINE_MS, b"0")) / MS_PER_S
        prompt_tokens, max_tokens = _decode_counts(values.get(wire.TOKEN_COUNTS))
        parts = _decode_parts(values.get(wire.PREFIX_PARTS, b""))
        last_event_id = int(values.get(wire.LAST_EVENT_ID, b"0") or b"0")
    except ValueError:
        return None
    return RequestHead(
        values.get(wire.ATTEMPT_ID, b"").decode("latin-1"),
        timeout_s if timeout_s > 0 else DEFAULT_DEADLINE_S,
        _strip_port(values.get(b"host", b"")),
        _decode_bearer_token(values.get(wire.AUTHORIZATION)),
        values.get(wire.MODEL, b"").decode("latin-1"),
        prompt_tokens,
        max_tokens,
        parts,
        last_event_id,
        values.get(wire.RESUMES, b"").decode("latin-1"),
    )


def forwarded_headers(
    headers: Iterable[Header],
    directives: RoutingDirectives,
    hides_key: bool,
    body_bytes: int | None,
) -> list[Header]:
    """Return the headers to forward to a replica.

    `hides_key` drops the caller's API key; `body_bytes` is the body's length, None without a body.
    """
    dropped = HOP_BY_HOP | wire.RESERVED_HEADERS | {wire.DEADLINE_MS}
    if hides_key:
        dropped = dropped | {wire.AUTHORIZATION}
    if directives.last_event_id is not None:
        dropped = dropped | {wire.LAST_EVENT_ID}
    connection_options = _connection_options(headers)
    forwarded = [item for item in headers if item[0].lower() not in dropped | connection_options]
    forwarded.extend(_encode_directives(directives))
    if body_bytes is not None:
        forwarded.append((b"Content-Length", str(body_bytes).encode()))
    return forwarded


def decode_answer(status: int, headers: Iterable[Header]) -> AnswerHead:
    """Decode a replica's headers."""
    values = dict(headers)
    return AnswerHead(
        status,
        values.get(wire.ATTEMPT_ID, b"").decode("latin-1"),
        wire.SIGNATURE in values,
        wire.NOT_RUN in values or status == 421,
        values.get(b"content-encoding", b"identity") != b"identity",
        _decode_idle_timeout(values.get(b"keep-alive")),
        _decode_retry_after(values.get(wire.RETRY_AFTER)),
        values.get(wire.ENDPOINT_LEAVING) == b"1",
        _decode_rate(values.get(wire.ENDPOINT_LIMIT)),
        _decode_rate(values.get(wire.ENDPOINT_BRITTLE)),
    )


def returned_headers(headers: Iterable[Header]) -> list[Header]:
    """Return a replica's headers without those that are not for the caller."""
    connection_options = _connection_options(headers)
    hidden = HOP_BY_HOP | wire.ROUTER_ONLY_HEADERS | connection_options
    return [item for item in headers if item[0].lower() not in hidden]


def refusal_headers(attempt_id: str, retry_after_s: float | None) -> list[Header]:
    """Return the headers of the router's own error answer; `retry_after_s` is in seconds."""
    headers = [(b"Content-Type", b"application/json")]
    if attempt_id:
        headers.append((b"X-Attempt-Id", attempt_id.encode("latin-1")))
    if retry_after_s is not None:
        rounded = math.ceil(retry_after_s * 100) / 100
        headers.append((b"Retry-After", f"{rounded:g}".encode()))
    return headers


def _encode_directives(directives: RoutingDirectives) -> list[Header]:
    timeout_ms = max(1, int(directives.timeout_s * MS_PER_S))
    headers = [
        (b"X-Target-Instance", directives.endpoint.encode()),
        (b"X-Deadline-Ms", str(timeout_ms).encode()),
    ]
    if directives.workspace is not None:
        headers.append((b"X-Tenant", directives.workspace.encode()))
    if directives.urgency is not None:
        urgency = min(wire.LEAST_URGENT, max(wire.MOST_URGENT, directives.urgency))
        headers.append((b"X-Request-Urgency", str(urgency).encode()))
    if directives.cache_salt:
        headers.append((b"X-Cache-Salt", directives.cache_salt.encode()))
    if directives.weights_version is not None:
        headers.append((b"X-Expect-Version", str(directives.weights_version).encode()))
    if directives.cache_source:
        headers.append((b"X-Kv-Source", directives.cache_source.encode()))
    if directives.cache_target:
        headers.append((b"X-Kv-Target", directives.cache_target.encode()))
    if directives.last_event_id is not None:
        headers.append((b"Last-Event-Id", str(directives.last_event_id).encode()))
    return headers


def _decode_counts(value: bytes | None) -> tuple[int, int]:
    if value is None:
        return 0, 0
    prompt, _, output = value.partition(b",")
    return (
        _decode_tokens(prompt, MAX_PROMPT_TOKENS),
        _decode_tokens(output or b"0", MAX_OUTPUT_TOKENS),
    )


def _decode_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for item in value.split(b","):
        if item.strip():
            part_id, _, tokens = item.strip().rpartition(b":")
            parts.append(
                PromptPart(part_id.decode("latin-1"), _decode_tokens(tokens, MAX_PROMPT_TOKENS))
            )
    if sum(part.tokens for part in parts) > MAX_PROMPT_TOKENS:
        raise ValueError(f"more than {MAX_PROMPT_TOKENS} tokens in all parts")
    return tuple(parts)


def _decode_tokens(value: bytes, maximum: int) -> int:
    tokens = int(value)
    if not 0 <= tokens <= maximum:
        raise ValueError(f"{tokens} tokens, expected 0 to {maximum}")
    return tokens


def _decode_bearer_token(value: bytes | None) -> str | None:
    if value is None or value[: len(BEARER)].lower() != BEARER:
        return None
    return value[len(BEARER) :].strip().decode("latin-1")


def _strip_port(value: bytes) -> str:
    return value.decode("latin-1").rsplit(":", 1)[0] if b":" in value else value.decode("latin-1")


def _connection_options(headers: Iterable[Header]) -> frozenset[bytes]:
    options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            options.update(item.strip().lower() for item in value.split(b","))
    return frozenset(options)


def _decode_retry_after(value: bytes | None) -> float | None:
    """Return the delay in seconds, or None for a date or a malformed number."""
    try:
        delay_s = float(value or b"")
    except ValueError:
        return None
    return delay_s if 0 < delay_s < math.inf else None


def _decode_rate(value: bytes | None) -> float | None:
    """Return the number a second, or None for one that is malformed or out of range."""
    try:
        per_s = float(value or b"")
    except ValueError:
        return None
    return per_s if 0 <= per_s <= MAX_RATE_PER_S else None


def _decode_idle_timeout(value: bytes | None) -> float | None:
    for item in (value or b"").split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None
