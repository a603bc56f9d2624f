"""Decoding lets no exception through but DecodeError, whatever the bytes are."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from rattangate.json_decoding import decode_json
from rattangate.platform.operator import ListedEndpoint, MalformedEntry, decode_endpoint

NESTING = 100_000
FIELDS = ("service", "address", "zone", "state", "slots", "born", "version", "models")
values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda items: st.lists(items) | st.dictionaries(st.text(), items),
)


# How long the generation of values takes says nothing about the decoder.
_SETTINGS = settings(
    max_examples=300,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)


class _Named(msgspec.Struct):
    name: str


@pytest.mark.parametrize("cls", [None, _Named])
@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"\xff\xfe",
        b'"\xff"',
        b"[" * NESTING,
        b"[" * NESTING + b"]" * NESTING,
        b'{"name":' * NESTING,
        b'{"other":' * NESTING,
        b"-",
        b"1e99999999999",
        b'{"name":"\\ud800"}',
    ],
)
def test_bytes_that_cannot_be_decoded_raise_decode_error(data, cls):
    with pytest.raises(msgspec.DecodeError):
        decode_json(data) if cls is None else decode_json(data, cls)


@_SETTINGS
@given(st.binary())
def test_an_entry_of_any_bytes_is_decoded_or_malformed(data):
    assert isinstance(decode_endpoint("i-1", data), ListedEndpoint | MalformedEntry)


@_SETTINGS
@given(st.dictionaries(st.sampled_from(FIELDS), values))
def test_an_entry_of_any_values_is_decoded_or_malformed(fields):
    data = msgspec.json.encode(fields)
    assert isinstance(decode_endpoint("i-1", data), ListedEndpoint | MalformedEntry)
