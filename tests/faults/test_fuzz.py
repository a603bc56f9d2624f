"""Fuzz tests of the input parsers: no input raises, and nothing is accepted unchecked."""

from __future__ import annotations

import json

import httpx
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from rattangate.core.prompts import InvalidPrompt, prompt_bytes
from rattangate.core.streams import StreamChecker
from rattangate.endpoints.client import CallFailed, EndpointClient, EndpointReport

FUZZ_SETTINGS = settings(max_examples=200, derandomize=True, deadline=None)

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(st.text(max_size=12), children),
    max_leaves=8,
)
KNOWN_KEYS = st.sampled_from(
    ["prompt", "messages", "role", "content", "incarnation", "events", "seq", "stored", "evicted"]
)
KNOWN_KEY_JSON = st.dictionaries(
    KNOWN_KEYS, JSON_VALUES | st.lists(st.dictionaries(KNOWN_KEYS, JSON_VALUES), max_size=2)
)


@FUZZ_SETTINGS
@given(st.lists(st.binary(max_size=60) | st.sampled_from([b"data: ", b"\n\n", b"{}", b"[DONE]"])))
def test_any_bytes_of_a_stream_are_accepted_or_reported_as_a_fault(chunks):
    checker = StreamChecker("req-1")
    checker.begin_attempt("1.v1")
    for chunk in chunks:
        step = checker.feed(chunk)
        assert not step.done or checker.finish_reason is not None
        if step.fault is not None:
            break


@FUZZ_SETTINGS
@given(KNOWN_KEY_JSON)
def test_any_body_gives_a_prompt_or_a_fault_with_a_key(body):
    outcome = prompt_bytes(body)
    assert isinstance(outcome, bytes | InvalidPrompt)
    if isinstance(outcome, InvalidPrompt):
        assert outcome.key


@FUZZ_SETTINGS
@given(JSON_VALUES | KNOWN_KEY_JSON)
def test_any_json_of_an_endpoint_is_parsed_or_rejected(answer):
    report, events = trio.run(_read_endpoint, json.dumps(answer).encode())
    assert isinstance(report, EndpointReport | CallFailed)
    assert isinstance(events, tuple | CallFailed)


@FUZZ_SETTINGS
@given(st.binary(max_size=200))
def test_any_bytes_of_an_endpoint_are_rejected(answer):
    report, events = trio.run(_read_endpoint, answer)
    assert isinstance(report, CallFailed)
    assert isinstance(events, CallFailed)


async def _read_endpoint(answer):
    client = EndpointClient("a", "127.0.0.1:1")
    await client.http.aclose()
    transport = httpx.MockTransport(
        lambda request: httpx.Response(200, stream=httpx.ByteStream(answer))
    )
    async with httpx.AsyncClient(transport=transport, base_url="http://127.0.0.1:1") as http:
        client.http = http
        return await client.get_report(), await client.cache_events(0)
