"""Setup of all tests."""

from __future__ import annotations

import eliot

# eliot buffers all messages until the first destination is added; tests must not receive those.
eliot.add_destinations(lambda message: None)
