"""Fixtures for the tests of the guarantees."""

from __future__ import annotations

import httpx
import pytest

from tests.small_deployment import small_deployment


@pytest.fixture
def start(tmp_path):
    """Return a function that starts a small deployment, which ends with the test."""
    started = []

    def start_deployment(shape):
        deployment = small_deployment(tmp_path, shape)
        started.append(deployment)
        return deployment.__enter__()

    yield start_deployment
    for deployment in started:
        deployment.__exit__(None, None, None)


@pytest.fixture
def new_client():
    """Return a factory of HTTP clients, to be called inside the event loop."""
    return lambda: httpx.AsyncClient(timeout=30.0, trust_env=False)
