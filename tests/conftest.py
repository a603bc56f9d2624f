"""Fixtures of all tests."""

from __future__ import annotations

import eliot

# Before the first destination eliot keeps every message for it; tests must not inherit those.
eliot.add_destinations(lambda message: None)
