"""Headers are translated in both directions, and headers reserved for the router are dropped."""

from __future__ import annotations

import pytest

from rattangate.platform.requests import (
    PromptPart,
    RoutingDirectives,
    decode_answer,
    decode_request,
    forwarded_headers,
    returned_headers,
)

CALLER_HEADERS = [
    (b"host", b"jepu9.example:80"),
    (b"x-attempt-id", b"9c41"),
    (b"x-model", b"daka"),
    (b"x-token-counts", b"1460,80"),
    (b"x-prefix-hash", b"5c1e:800,91bd:410, e440:250"),
    (b"x-deadline-ms", b"5000"),
    (b"authorization", b"bearer secret1"),
    (b"connection", b"keep-alive, x-mine"),
    (b"x-mine", b"1"),
    (b"x-cache-salt", b"stolen"),
    (b"x-tenant", b"other"),
    (b"x-hold", b"7"),
    (b"kv-from", b"10.0.0.1:80/a"),
    (b"transfer-encoding", b"chunked"),
    (b"accept", b"*/*"),
]


def test_request_is_decoded():
    head = decode_request(CALLER_HEADERS)
    assert head is not None
    assert (head.attempt_id, head.host, head.key) == ("9c41", "jepu9.example", "secret1")
    assert (head.timeout_s, head.prompt_tokens, head.max_tokens) == (5.0, 1460, 80)
    assert head.parts == (
        PromptPart("5c1e", 800),
        PromptPart("91bd", 410),
        PromptPart("e440", 250),
    )


def test_request_with_a_malformed_number_is_rejected():
    assert decode_request([(b"x-token-counts", b"a,b")]) is None


def test_forwarded_headers_carry_only_the_directives_of_the_router():
    directives = RoutingDirectives("i-1", 1.25, "sese", 4, "salt", 3, "10.0.0.2:80")
    forwarded = forwarded_headers(CALLER_HEADERS, directives, True, 12)
    headers = {name.lower(): value for name, value in forwarded}
    assert headers[b"x-target-instance"] == b"i-1"
    assert headers[b"x-deadline-ms"] == b"1250"
    assert headers[b"x-tenant"] == b"sese"
    assert headers[b"x-cache-salt"] == b"salt"
    assert headers[b"x-expect-version"] == b"3"
    assert headers[b"x-kv-source"] == b"10.0.0.2:80"
    assert headers[b"content-length"] == b"12"
    assert headers[b"accept"] == b"*/*"
    dropped = (b"authorization", b"x-mine", b"x-hold", b"kv-from", b"connection")
    assert not any(name in headers for name in (*dropped, b"transfer-encoding"))


def test_each_directive_is_sent_once():
    directives = RoutingDirectives("i-1", 1.0, None)
    names = [name.lower() for name, _ in forwarded_headers(CALLER_HEADERS, directives, True, None)]
    assert len(names) == len(set(names))
    assert b"x-tenant" not in names
    assert b"x-cache-salt" not in names


def test_answer_headers_are_decoded():
    refused = decode_answer(503, [(b"x-not-executed", b"1"), (b"x-server-seal", b"s")])
    assert (refused.was_not_run, refused.is_signed) == (True, True)
    assert decode_answer(421, []).was_not_run
    assert not decode_answer(503, []).was_not_run
    assert decode_answer(200, [(b"keep-alive", b"timeout=5, max=9")]).idle_timeout_s == 5.0
    assert decode_answer(200, [(b"content-encoding", b"gzip")]).has_content_encoding


def test_returned_headers_omit_hop_by_hop_and_router_only_headers():
    headers = [
        (b"Connection", b"close"),
        (b"X-Server-Seal", b"s"),
        (b"Content-Length", b"3"),
        (b"X-Server-Load", b"1,0,6"),
    ]
    assert returned_headers(headers) == [(b"X-Server-Seal", b"s")]


@pytest.mark.parametrize(
    ("value", "per_s"),
    [(b"1.9", 1.9), (b"0", 0.0), (b"0.02", 0.02), (b"-1", None), (b"nan", None), (b"x", None)],
)
def test_the_request_rate_that_an_answer_names_is_decoded(value, per_s):
    assert decode_answer(200, [(b"server-limit", value)]).limit_per_s == per_s
