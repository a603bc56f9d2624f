"""Fuzz the edges: nothing raises, nothing is forwarded that was not checked."""

from __future__ import annotations

import json

import httpx
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from rattangate.core.prompts import PromptFault, prompt_bytes
from rattangate.core.streams import StreamChecker
from rattangate.endpoints.client import EndpointClient, EndpointReport, OpenFailed

EXAMPLES = settings(max_examples=200, derandomize=True, deadline=None)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=12), inner),
    max_leaves=8,
)
KEYS = st.sampled_from(
    ["prompt", "messages", "role", "content", "incarnation", "events", "seq", "stored", "evicted"]
)
NEAR_JSON = st.dictionaries(KEYS, JSON | st.lists(st.dictionaries(KEYS, JSON), max_size=2))


@EXAMPLES
@given(st.lists(st.binary(max_size=60) | st.sampled_from([b"data: ", b"\n\n", b"{}", b"[DONE]"])))
def test_any_bytes_of_a_stream_are_checked_or_refused(chunks):
    checker = StreamChecker("req-1")
    checker.begin_attempt("1.v1")
    for chunk in chunks:
        step = checker.feed(chunk)
        assert not step.done or checker.finish_reason is not None
        if step.fault is not None:
            break


@EXAMPLES
@given(NEAR_JSON)
def test_any_body_has_a_prompt_or_a_fault_with_its_key(body):
    outcome = prompt_bytes(body)
    assert isinstance(outcome, bytes | PromptFault)
    if isinstance(outcome, PromptFault):
        assert outcome.key


@EXAMPLES
@given(JSON | NEAR_JSON)
def test_any_answer_of_an_endpoint_is_taken_or_refused(answer):
    report, events = trio.run(_ask_endpoint, json.dumps(answer).encode())
    assert isinstance(report, EndpointReport | OpenFailed)
    assert isinstance(events, tuple | OpenFailed)


@EXAMPLES
@given(st.binary(max_size=200))
def test_any_bytes_of_an_endpoint_are_taken_or_refused(answer):
    report, events = trio.run(_ask_endpoint, answer)
    assert isinstance(report, OpenFailed)
    assert isinstance(events, OpenFailed)


async def _ask_endpoint(answer):
    client = EndpointClient("a", "127.0.0.1:1")
    await client.http.aclose()
    transport = httpx.MockTransport(lambda request: httpx.Response(200, content=answer))
    async with httpx.AsyncClient(transport=transport, base_url="http://127.0.0.1:1") as http:
        client.http = http
        return await client.report(), await client.cache_events(0)
