"""Shared set-up of all tests."""

from __future__ import annotations

import eliot

# Without a reader, eliot keeps all events and delivers them to the first one to come.
eliot.add_destinations(lambda message: None)
