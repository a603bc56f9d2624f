"""Tests of the stored content of a configuration version."""

from __future__ import annotations

import pytest

from rattangate.config.content import decode_content, encode_content, make_content
from rattangate.config.diagnostics import ConfigError
from rattangate.config.load import Sources
from rattangate.config.tree import Source
from tests.config.test_load import BASE

EAST = "site: east\nplacement:\n  recompute_weight: 2.5\n"


def test_decoded_content_gives_settings_of_each_site():
    sources = Sources(Source("any.yaml", BASE.encode()), (Source("some.yaml", EAST.encode()),))
    content = decode_content(encode_content(make_content(sources)))
    assert content.overlays == {"east": EAST}
    assert content.build_settings("east").placement.recompute_weight == 2.5
    assert content.build_settings("elsewhere").placement.recompute_weight == 1.0


@pytest.mark.parametrize("data", [b"", b"{}", b"\xff", b'{"base": 1, "overlays": {}}'])
def test_malformed_content_raises_config_error(data: bytes):
    with pytest.raises(ConfigError):
        decode_content(data)
