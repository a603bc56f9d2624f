"""Tests of the error kinds and of the HTTP responses for them."""

from __future__ import annotations

from rattangate.errors import ERROR_RESPONSES, ErrorKind


def test_every_kind_has_a_response():
    assert set(ERROR_RESPONSES) == set(ErrorKind)


def test_statuses_are_errors_and_retry_delays_are_positive():
    for kind, response in ERROR_RESPONSES.items():
        assert 400 <= response.status < 600, kind
        assert response.retry_after_s is None or response.retry_after_s > 0, kind
